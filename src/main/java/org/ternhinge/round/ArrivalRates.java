package org.ternhinge.round;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.ternhinge.config.Objective;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.wire.JobSpec;

/**
 * How often jobs of a class arrive, so that room can be kept for those whose users expect a start
 * sooner than a machine comes up. Guarded by the controller's lock.
 */
public final class ArrivalRates {
  /** Seconds over which arrivals are counted; long against a boot, short against a day. */
  private static final double WINDOW_S = 180;

  /** Seconds of arrivals that room is kept for: about the time that provisioning takes. */
  private static final double AHEAD_S = 45;

  /** Seconds that a rate is taken over at least, or one early arrival would count as many. */
  private static final double MIN_SPAN_S = 60;

  private record Arrival(JobSpec spec, SteadyTime at) {}

  /** For each class, the shortest wait that an objective asks for. */
  private final Map<String, Double> waitAimS = new HashMap<>();

  private final Map<String, ArrayDeque<Arrival>> recentByClass = new HashMap<>();

  public ArrivalRates(List<Objective> objectives) {
    for (Objective objective : objectives) {
      if (objective.kind().equals("wait") && objective.jobClass() != null) {
        waitAimS.merge(objective.jobClass(), objective.withinS(), Math::min);
      }
    }
  }

  /**
   * Counts the arrival of a job, if jobs of its class can't wait for a machine to be provisioned.
   */
  public void saw(JobSpec spec, SteadyTime at) {
    Double aimS = waitAimS.get(spec.jobClass());
    if (aimS != null && aimS < AHEAD_S) {
      recentByClass
          .computeIfAbsent(spec.jobClass(), jobClass -> new ArrayDeque<>())
          .add(new Arrival(spec, at));
    }
  }

  /** Jobs as they may come next, like the latest ones of their class. */
  List<Snapshot.JobView> expectedJobs(SteadyTime now, int zones) {
    List<Snapshot.JobView> expectedJobs = new ArrayList<>();
    for (ArrayDeque<Arrival> recent : recentByClass.values()) {
      forgetOld(recent, now);
      int count = recent.isEmpty() ? 0 : expected(recent, now);
      Iterator<Arrival> latest = recent.descendingIterator();
      for (int i = 0; i < count; i++) {
        expectedJobs.add(Snapshot.JobView.expected(latest.next().spec(), i, zones));
      }
    }
    return expectedJobs;
  }

  private static void forgetOld(ArrayDeque<Arrival> recent, SteadyTime now) {
    while (!recent.isEmpty() && now.secondsSince(recent.peekFirst().at()) > WINDOW_S) {
      recent.pollFirst();
    }
  }

  /** Arrivals to keep room for: those to be expected, and their standard deviation. */
  private static int expected(ArrayDeque<Arrival> recent, SteadyTime now) {
    double spanS = Math.min(WINDOW_S, now.secondsSince(recent.peekFirst().at()));
    double mean = recent.size() / Math.max(MIN_SPAN_S, spanS) * AHEAD_S;
    return (int) Math.min(recent.size(), mean + Math.sqrt(mean));
  }
}
