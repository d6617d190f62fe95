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
 * Removes from a plan what exceeds the limits that apply while zones recover: task starts in
 * recovering zones, migrations of running replicas, and the release of many machines at once.
 */
final class PlanLimiter {
  private final RecoveryRateLimiter rateLimiter;
  private final PlacementLookup placementLookup;
  private final Map<String, Integer> startsByZone = new HashMap<>();

  PlanLimiter(RecoveryRateLimiter rateLimiter, PlacementLookup placementLookup) {
    this.rateLimiter = rateLimiter;
    this.placementLookup = placementLookup;
  }

  /**
   * Returns the part of a plan that is within the limits.
   *
   * @param limitedZones names of the zones in which starts are rate-limited
   * @param maxReleases maximum number of idle machines to release now
   */
  Plan limited(Plan plan, Set<String> limitedZones, int maxReleases) {
    Plan limited = new Plan();
    for (Plan.Placement placement : plan.placements()) {
      Plan.Placement permitted = limited(placement, limitedZones);
      if (!permitted.tasks().isEmpty()) {
        limited.placements().add(permitted);
      }
    }
    plan.preemptions().stream()
        .filter(preemption -> !isMigration(preemption))
        .forEach(limited.preemptions()::add);
    limited.scaleOuts().addAll(plan.scaleOuts());
    plan.releases().stream().limit(Math.max(0, maxReleases)).forEach(limited.releases()::add);
    return limited;
  }

  /** Returns the number of permitted starts in each rate-limited zone. */
  Map<String, Integer> startsByZone() {
    return startsByZone;
  }

  private Plan.Placement limited(Plan.Placement placement, Set<String> limitedZones) {
    return placementLookup.isGang(placement.job())
        ? limitGang(placement, limitedZones)
        : limitTasks(placement, limitedZones);
  }

  private Plan.Placement limitTasks(Plan.Placement placement, Set<String> limitedZones) {
    List<Integer> tasks = new ArrayList<>();
    List<MachineId> machines = new ArrayList<>();
    for (int i = 0; i < placement.tasks().size(); i++) {
      MachineId machine = placement.machines().get(i);
      Optional<String> limitedZone = placementLookup.zoneOf(machine).filter(limitedZones::contains);
      if (limitedZone.isEmpty() || tryStart(limitedZone.get())) {
        tasks.add(placement.tasks().get(i));
        machines.add(machine);
      }
    }
    return new Plan.Placement(placement.job(), tasks, machines);
  }

  private boolean tryStart(String zone) {
    if (!rateLimiter.allows(zone)) {
      return false;
    }
    countStart(zone);
    return true;
  }

  private void countStart(String zone) {
    rateLimiter.take(zone, 1);
    startsByZone.merge(zone, 1, Integer::sum);
  }

  /**
   * Permits a gang as a whole or not at all. A gang may overdraw the bucket; otherwise a gang
   * larger than the bucket's capacity could never start.
   */
  private Plan.Placement limitGang(Plan.Placement placement, Set<String> limitedZones) {
    List<String> starts =
        placement.machines().stream()
            .flatMap(machine -> placementLookup.zoneOf(machine).stream())
            .filter(limitedZones::contains)
            .toList();
    if (!starts.stream().allMatch(rateLimiter::allows)) {
      return new Plan.Placement(placement.job(), List.of(), List.of());
    }
    starts.forEach(this::countStart);
    return placement;
  }

  /**
   * Whether a preemption migrates a running task of the job itself rather than freeing capacity for
   * another job.
   */
  private static boolean isMigration(Plan.Preemption preemption) {
    return !preemption.victims().isEmpty()
        && preemption.victims().stream()
            .allMatch(victim -> victim.job().equals(preemption.forJob()));
  }
}
