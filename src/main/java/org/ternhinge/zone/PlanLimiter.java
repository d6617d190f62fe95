package org.ternhinge.zone;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.model.MachineId;
import org.ternhinge.schedule.Plan;

/**
 * Takes out of a plan what the pace of returning zones does not permit: starts beyond it, moves of
 * running replicas, and returns of idle machines in numbers.
 */
final class PlanLimiter {
  private final ReturnPacer pacer;
  private final PlacementFacts facts;
  private final Map<String, Integer> startsByZone = new HashMap<>();

  PlanLimiter(ReturnPacer pacer, PlacementFacts facts) {
    this.pacer = pacer;
    this.facts = facts;
  }

  /**
   * The plan without what has to wait.
   *
   * @param paced names of the zones whose starts are counted
   * @param mostReleases how many idle machines may be returned now
   */
  Plan limited(Plan plan, Set<String> paced, int mostReleases) {
    Plan out = new Plan();
    for (Plan.Place place : plan.places()) {
      Plan.Place kept = limited(place, paced);
      if (!kept.tasks().isEmpty()) {
        out.places().add(kept);
      }
    }
    plan.stops().stream().filter(stop -> !isMove(stop)).forEach(out.stops()::add);
    out.scaleOuts().addAll(plan.scaleOuts());
    plan.releases().stream().limit(Math.max(0, mostReleases)).forEach(out.releases()::add);
    return out;
  }

  /** Starts that were let through, by zone, as far as they are counted. */
  Map<String, Integer> startsByZone() {
    return startsByZone;
  }

  private Plan.Place limited(Plan.Place place, Set<String> paced) {
    return facts.isGang(place.job()) ? wholeOrNone(place, paced) : oneByOne(place, paced);
  }

  private Plan.Place oneByOne(Plan.Place place, Set<String> paced) {
    List<Integer> tasks = new ArrayList<>();
    List<MachineId> machines = new ArrayList<>();
    for (int i = 0; i < place.tasks().size(); i++) {
      MachineId machine = place.machines().get(i);
      String zone = facts.zoneOf(machine);
      if (!paced.contains(zone) || take(zone)) {
        tasks.add(place.tasks().get(i));
        machines.add(machine);
      }
    }
    return new Plan.Place(place.job(), tasks, machines);
  }

  private boolean take(String zone) {
    if (!pacer.allows(zone)) {
      return false;
    }
    count(zone);
    return true;
  }

  private void count(String zone) {
    pacer.take(zone, 1);
    startsByZone.merge(zone, 1, Integer::sum);
  }

  /** A gang may overdraw: it would never start where its size is above what the pace permits. */
  private Plan.Place wholeOrNone(Plan.Place place, Set<String> paced) {
    List<String> counted =
        place.machines().stream().map(facts::zoneOf).filter(paced::contains).toList();
    if (!counted.stream().allMatch(pacer::allows)) {
      return new Plan.Place(place.job(), List.of(), List.of());
    }
    counted.forEach(this::count);
    return place;
  }

  /** Whether a stop moves a running task of the job itself, and makes no room for another. */
  private static boolean isMove(Plan.Stop stop) {
    return !stop.victims().isEmpty()
        && stop.victims().stream().allMatch(victim -> victim.job().equals(stop.forJob()));
  }
}
