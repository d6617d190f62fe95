package org.ternhinge.sim;

import java.util.HashMap;
import java.util.Map;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Resources;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.JobSpec;

/**
 * Detects jobs that wait although a suitable machine has room and their team is below its limit.
 */
final class StarvationCheck {
  private static final double MAX_WAIT_S = 90;

  private final SimCluster cluster;

  /**
   * Time since which a job has been waiting despite capacity, and its number of starts at that
   * time.
   */
  private final Map<JobId, Double> since = new HashMap<>();

  private final Map<JobId, Integer> previousStarts = new HashMap<>();

  StarvationCheck(SimCluster cluster) {
    this.cluster = cluster;
  }

  /** Checks an accepted job that nobody cancelled; to be called every few seconds. */
  void check(JobSpec spec) {
    JobId id = spec.id();
    int starts = cluster.tasks.startsOf(id);
    // A job that waits for its dependencies is not starved.
    boolean waitsForDependencies = cluster.jobs.unfinishedDependency(id) != null;
    if (waitsForDependencies
        || !waitsDespiteCapacity(spec)
        || !Integer.valueOf(starts).equals(previousStarts.put(id, starts))) {
      since.remove(id);
      return;
    }
    double from = since.computeIfAbsent(id, k -> cluster.clock.seconds());
    if (cluster.clock.seconds() - from > MAX_WAIT_S) {
      cluster.violations.add("left waiting: " + id + " since " + from);
      since.remove(id);
    }
  }

  private boolean waitsDespiteCapacity(JobSpec spec) {
    int missing = 0;
    for (int i = 0; i < spec.tasks(); i++) {
      TaskId task = new TaskId(spec.id(), i);
      missing += cluster.jobs.isCompleted(task) || cluster.tasks.isRunning(task) ? 0 : 1;
    }
    if (missing == 0 || (spec.isGang() && missing < spec.tasks())) {
      return false;
    }
    int required = spec.isGang() ? missing : 1;
    if (!cluster.quota.hasRoomFor(spec, required)) {
      return false;
    }
    if (!spec.singleZone()) {
      return availablePlaces(null, spec, required) >= required;
    }
    for (String zone : cluster.settings.zones()) {
      if (availablePlaces(zone, spec, required) >= required) {
        return true;
      }
    }
    return false;
  }

  /** Number of available places for tasks of a job, up to the required number. */
  private int availablePlaces(String zone, JobSpec spec, int required) {
    Map<String, Integer> byZone = new HashMap<>(cluster.placement.tasksByZone(spec.id()));
    int places = 0;
    for (SimWorker worker : cluster.machines.live()) {
      boolean otherZone = spec.singleZone() && runsInOtherZone(byZone, worker.zone);
      if (!isReachable(worker) || !allowed(spec, worker, zone) || otherZone) {
        continue;
      }
      Resources left = cluster.tasks.freeResources(worker);
      while (places < required
          && spec.taskResources().fitsIn(left)
          && byZone.getOrDefault(worker.zone, 0) < spec.maxTasksPerZone()) {
        left = left.minus(spec.taskResources());
        byZone.merge(worker.zone, 1, Integer::sum);
        places++;
      }
    }
    return places;
  }

  private static boolean isReachable(SimWorker worker) {
    return worker.links().areHealthy() && !worker.isHung();
  }

  /** Whether a job permits a machine, in the given zone or in any zone if that is null. */
  private static boolean allowed(JobSpec spec, SimWorker worker, String zone) {
    return spec.allowsType(worker.machineType.name())
        && spec.allowsZone(worker.zone)
        && (zone == null || zone.equals(worker.zone))
        && (!worker.spot || spec.spotAllowed());
  }

  private static boolean runsInOtherZone(Map<String, Integer> byZone, String zone) {
    return byZone.entrySet().stream().anyMatch(e -> e.getValue() > 0 && !e.getKey().equals(zone));
  }
}
