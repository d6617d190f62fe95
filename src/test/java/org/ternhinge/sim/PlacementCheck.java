package org.ternhinge.sim;

import java.util.HashMap;
import java.util.Map;
import org.ternhinge.model.JobId;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.JobSpec;

/**
 * Rule {@code wrong_place}: a task starts only on a machine type, in a zone and on a spot or
 * on-demand machine that its job permits, given the current placement of its other tasks.
 */
final class PlacementCheck implements TaskObserver {
  private final RuleViolations violations;

  /** Number of running tasks of each job by zone; zones without any are absent. */
  private final Map<JobId, Map<String, Integer>> tasksByZone = new HashMap<>();

  PlacementCheck(RuleViolations violations) {
    this.violations = violations;
  }

  @Override
  public void started(Start start) {
    SimWorker machine = start.machine();
    JobSpec spec = start.spec();
    TaskId task = start.task();
    if (!permits(spec, machine)) {
      violations.add("wrong_place: " + task + " on " + machine.id());
    }
    Map<String, Integer> zones = tasksByZone.computeIfAbsent(task.job(), unused -> new HashMap<>());
    zones.merge(machine.zone, 1, Integer::sum);
    if (spec.singleZone() && zones.size() > 1) {
      violations.add("wrong_place: " + task + " apart from its gang");
    }
    if (zones.get(machine.zone) > spec.maxTasksPerZone()) {
      violations.add("wrong_place: " + task + " too many in " + machine.zone);
    }
  }

  private static boolean permits(JobSpec spec, SimWorker machine) {
    boolean type = spec.allowsType(machine.machineType.name());
    boolean zone = spec.allowsZone(machine.zone);
    boolean kind = !machine.spot || spec.spotAllowed();
    return type && zone && kind;
  }

  @Override
  public void left(SimWorker machine, TaskId task, JobSpec spec) {
    tasksByZone
        .get(task.job())
        .computeIfPresent(machine.zone, (zone, count) -> count == 1 ? null : count - 1);
  }

  /** Number of running tasks of a job by zone. */
  Map<String, Integer> tasksByZone(JobId id) {
    return tasksByZone.getOrDefault(id, Map.of());
  }
}
