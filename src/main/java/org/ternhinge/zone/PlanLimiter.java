package org.ternhinge.zone;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ternhinge.model.MachineId;
import org.ternhinge.schedule.Plan;

/**
 * Removes from a plan what exceeds the pace of returning zones: starts there, moves of running
 * replicas, and releases of many machines at once.
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
   * The plan within the limits.
   *
   * @param pacedZones names of the zones with a limited number of starts
   * @param maxReleases how many idle machines may be released now
   */
  Plan limited(Plan plan, Set<String> pacedZones, int maxReleases) {
    Plan limited = new Plan();
    for (Plan.Placement placement : plan.placements()) {
      Plan.Placement permitted = limited(placement, pacedZones);
      if (!permitted.tasks().isEmpty()) {
        limited.placements().add(permitted);
      }
    }
    plan.preemptions().stream()
        .filter(preemption -> !isMove(preemption))
        .forEach(limited.preemptions()::add);
    limited.scaleOuts().addAll(plan.scaleOuts());
    plan.releases().stream().limit(Math.max(0, maxReleases)).forEach(limited.releases()::add);
    return limited;
  }

  /** The permitted starts in each of the paced zones. */
  Map<String, Integer> startsByZone() {
    return startsByZone;
  }

  private Plan.Placement limited(Plan.Placement placement, Set<String> pacedZones) {
    return facts.isGang(placement.job())
        ? wholeOrNone(placement, pacedZones)
        : oneByOne(placement, pacedZones);
  }

  private Plan.Placement oneByOne(Plan.Placement placement, Set<String> pacedZones) {
    List<Integer> tasks = new ArrayList<>();
    List<MachineId> machines = new ArrayList<>();
    for (int i = 0; i < placement.tasks().size(); i++) {
      MachineId machine = placement.machines().get(i);
      Optional<String> pacedZone = facts.zoneOf(machine).filter(pacedZones::contains);
      if (pacedZone.isEmpty() || startIfPermitted(pacedZone.get())) {
        tasks.add(placement.tasks().get(i));
        machines.add(machine);
      }
    }
    return new Plan.Placement(placement.job(), tasks, machines);
  }

  private boolean startIfPermitted(String zone) {
    if (!pacer.allows(zone)) {
      return false;
    }
    start(zone);
    return true;
  }

  private void start(String zone) {
    pacer.take(zone, 1);
    startsByZone.merge(zone, 1, Integer::sum);
  }

  /** A gang may overdraw the budget: otherwise one larger than the budget would never start. */
  private Plan.Placement wholeOrNone(Plan.Placement placement, Set<String> pacedZones) {
    List<String> starts =
        placement.machines().stream()
            .flatMap(machine -> facts.zoneOf(machine).stream())
            .filter(pacedZones::contains)
            .toList();
    if (!starts.stream().allMatch(pacer::allows)) {
      return new Plan.Placement(placement.job(), List.of(), List.of());
    }
    starts.forEach(this::start);
    return placement;
  }

  /** Whether a preemption moves a running task of the job itself, and makes no room for another. */
  private static boolean isMove(Plan.Preemption preemption) {
    return !preemption.victims().isEmpty()
        && preemption.victims().stream()
            .allMatch(victim -> victim.job().equals(preemption.forJob()));
  }
}
