package org.ternhinge.round;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.ternhinge.config.Objective;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.wire.JobSpec;

/**
 * The rates at which jobs of each class arrive, so that room can be kept for those that have to
 * start sooner than a machine boots. Guarded by the controller's lock.
 */
public final class ArrivalRates {
  /** Seconds over which arrivals are counted: longer than a boot, shorter than a change of load. */
  private static final double WINDOW_S = 180;

  /** Seconds of arrivals that room is kept for: about the time until a machine is up. */
  private static final double LOOKAHEAD_S = 45;

  /** Shortest span of a rate, in seconds; otherwise one early arrival would count as many. */
  private static final double MIN_SPAN_S = 60;

  /** The kind of objective that limits the wait until the first start. */
  private static final String WAIT_OBJECTIVE = "wait";

  private record Arrival(JobSpec spec, MonotonicTime at) {}

  /** The shortest permitted wait of each class that has an objective for it, in seconds. */
  private final Map<String, Double> maxWaitSByClass = new HashMap<>();

  private final Map<String, ArrayDeque<Arrival>> recentByClass = new HashMap<>();

  /** Creates rates without arrivals, for the classes with an objective for their wait. */
  public ArrivalRates(List<Objective> objectives) {
    for (Objective objective : objectives) {
      if (objective.kind().equals(WAIT_OBJECTIVE)) {
        objective
            .jobClass()
            .ifPresent(name -> maxWaitSByClass.merge(name, objective.withinS(), Math::min));
      }
    }
  }

  /** Counts the arrival of a job, if jobs of its class can't wait until a machine has booted. */
  public void recordArrival(JobSpec spec, MonotonicTime at) {
    Double maxWaitS = maxWaitSByClass.get(spec.jobClass());
    if (maxWaitS != null && maxWaitS < LOOKAHEAD_S) {
      recentByClass
          .computeIfAbsent(spec.jobClass(), jobClass -> new ArrayDeque<>())
          .add(new Arrival(spec, at));
    }
  }

  /** The jobs that are expected within the lookahead, copies of the latest ones of their class. */
  List<Snapshot.JobView> expectedJobs(MonotonicTime now, int zoneCount) {
    List<Snapshot.JobView> expectedJobs = new ArrayList<>();
    for (ArrayDeque<Arrival> recent : recentByClass.values()) {
      dropOld(recent, now);
      int count = recent.isEmpty() ? 0 : expectedCount(recent, now);
      Iterator<Arrival> latest = recent.descendingIterator();
      for (int i = 0; i < count; i++) {
        expectedJobs.add(Snapshot.JobView.expected(latest.next().spec(), i, zoneCount));
      }
    }
    return expectedJobs;
  }

  private static void dropOld(ArrayDeque<Arrival> recent, MonotonicTime now) {
    while (!recent.isEmpty() && now.secondsSince(recent.peekFirst().at()) > WINDOW_S) {
      recent.pollFirst();
    }
  }

  /** The mean of the arrivals within the lookahead plus their standard deviation. */
  private static int expectedCount(ArrayDeque<Arrival> recent, MonotonicTime now) {
    double spanS = Math.min(WINDOW_S, now.secondsSince(recent.peekFirst().at()));
    double mean = recent.size() / Math.max(MIN_SPAN_S, spanS) * LOOKAHEAD_S;
    return (int) Math.min(recent.size(), mean + Math.sqrt(mean));
  }
}
