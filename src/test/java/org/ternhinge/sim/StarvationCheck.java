package org.ternhinge.sim;

import java.util.HashMap;
import java.util.Map;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Resources;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.JobSpec;

/** Jobs that wait although a machine that fits has room and their team is under its limit. */
final class StarvationCheck {
  private static final double MOST_S = 90;

  private final SimCluster cluster;

  /** Since when a job has been waiting beside room, and the starts that it had then. */
  private final Map<JobId, Double> since = new HashMap<>();

  private final Map<JobId, Integer> startsThen = new HashMap<>();

  StarvationCheck(SimCluster cluster) {
    this.cluster = cluster;
  }

  /** To be called every few seconds for each accepted job that nobody cancelled. */
  void check(JobSpec spec) {
    JobId id = spec.id();
    int starts = cluster.tasks.startsOf(id);
    // Whoever waits for other jobs is not left waiting.
    boolean waitsForOthers = cluster.jobs.unfinishedDependency(id) != null;
    if (waitsForOthers
        || !waitsBesideRoom(spec)
        || !Integer.valueOf(starts).equals(startsThen.put(id, starts))) {
      since.remove(id);
      return;
    }
    double from = since.computeIfAbsent(id, k -> cluster.clock.seconds());
    if (cluster.clock.seconds() - from > MOST_S) {
      cluster.violations.add("left waiting: " + id + " since " + from);
      since.remove(id);
    }
  }

  private boolean waitsBesideRoom(JobSpec spec) {
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
    if (!spec.together()) {
      return placesIn(null, spec, required) >= required;
    }
    for (String zone : cluster.settings.zones()) {
      if (placesIn(zone, spec, required) >= required) {
        return true;
      }
    }
    return false;
  }

  /** Places for a job's tasks, at most as many as are wanted. */
  private int placesIn(String zone, JobSpec spec, int wanted) {
    Map<String, Integer> byZone = new HashMap<>(cluster.placement.tasksByZone(spec.id()));
    int places = 0;
    for (SimWorker worker : cluster.machines.live()) {
      boolean elsewhere = spec.together() && elsewhere(byZone, worker.zone);
      if (!isReachable(worker) || !allowed(spec, worker, zone) || elsewhere) {
        continue;
      }
      Resources left = cluster.tasks.freeResources(worker);
      while (places < wanted
          && spec.need().fitsIn(left)
          && byZone.getOrDefault(worker.zone, 0) < spec.zoneLimit()) {
        left = left.minus(spec.need());
        byZone.merge(worker.zone, 1, Integer::sum);
        places++;
      }
    }
    return places;
  }

  private static boolean isReachable(SimWorker worker) {
    return worker.links().areHealthy() && !worker.isHung();
  }

  /** Whether a job permits a machine, within a zone or any where that is null. */
  private static boolean allowed(JobSpec spec, SimWorker worker, String zone) {
    return spec.allowsType(worker.machineType.name())
        && spec.allowsZone(worker.zone)
        && (zone == null || zone.equals(worker.zone))
        && (!worker.spot || spec.spotAllowed());
  }

  private static boolean elsewhere(Map<String, Integer> byZone, String zone) {
    return byZone.entrySet().stream().anyMatch(e -> e.getValue() > 0 && !e.getKey().equals(zone));
  }
}
