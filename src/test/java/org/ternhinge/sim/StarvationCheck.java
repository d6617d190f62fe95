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

  private final SimCluster world;

  /** Since when a job has been waiting beside room, and the starts that it had then. */
  private final Map<JobId, Double> since = new HashMap<>();

  private final Map<JobId, Integer> startsThen = new HashMap<>();

  StarvationCheck(SimCluster world) {
    this.world = world;
  }

  /** To be asked every few seconds for every accepted job that nobody cancelled. */
  void check(JobSpec spec) {
    JobId id = spec.id();
    int starts = world.startsOf(id);
    // Whoever waits for other jobs is not left waiting.
    boolean waitsForOthers = world.notDoneBefore(id) != null;
    if (waitsForOthers
        || !waitsBesideRoom(spec)
        || !Integer.valueOf(starts).equals(startsThen.put(id, starts))) {
      since.remove(id);
      return;
    }
    double from = since.computeIfAbsent(id, k -> world.clock.seconds());
    if (world.clock.seconds() - from > MOST_S) {
      world.broken.add("left waiting: " + id + " since " + from);
      since.remove(id);
    }
  }

  private boolean waitsBesideRoom(JobSpec spec) {
    int missing = 0;
    for (int i = 0; i < spec.tasks(); i++) {
      TaskId task = new TaskId(spec.id(), i);
      missing += world.isCompleted(task) || world.isRunning(task) ? 0 : 1;
    }
    if (missing == 0 || (spec.isGang() && missing < spec.tasks())) {
      return false;
    }
    int wanted = spec.isGang() ? missing : 1;
    if (!world.underLimit(spec, wanted)) {
      return false;
    }
    if (!spec.together()) {
      return placesIn(null, spec, wanted) >= wanted;
    }
    for (String zone : SimCluster.ZONES) {
      if (placesIn(zone, spec, wanted) >= wanted) {
        return true;
      }
    }
    return false;
  }

  /** Places for a job's tasks, at most as many as are wanted. */
  private int placesIn(String zone, JobSpec spec, int wanted) {
    Map<String, Integer> byZone = new HashMap<>(world.tasksByZone(spec.id()));
    int places = 0;
    for (SimWorker w : world.liveWorkers()) {
      boolean reached = !w.cut() && !w.deaf() && !w.mute() && !w.hung();
      boolean allowed =
          spec.allowsType(w.flavor.name())
              && (spec.zone() == null || spec.zone().equals(w.zone))
              && (zone == null || zone.equals(w.zone))
              && (!w.spot || spec.spotAllowed());
      if (!reached || !allowed || (spec.together() && elsewhere(byZone, w.zone))) {
        continue;
      }
      Resources left = world.free(w);
      while (places < wanted
          && spec.need().fitsIn(left)
          && byZone.getOrDefault(w.zone, 0) < spec.zoneLimit()) {
        left = left.minus(spec.need());
        byZone.merge(w.zone, 1, Integer::sum);
        places++;
      }
    }
    return places;
  }

  private static boolean elsewhere(Map<String, Integer> byZone, String zone) {
    return byZone.entrySet().stream().anyMatch(e -> e.getValue() > 0 && !e.getKey().equals(zone));
  }
}
