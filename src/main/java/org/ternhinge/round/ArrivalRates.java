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
 * Arrival rates of jobs by class. They are used to reserve room in advance for jobs that have to
 * start sooner than a machine can boot. Guarded by the controller's lock.
 */
public final class ArrivalRates {
  /** Window for counting arrivals, in seconds: longer than a boot, shorter than a load change. */
  private static final double WINDOW_S = 180;

  /** Seconds of arrivals to reserve room for: about the time until a new machine is up. */
  private static final double LOOKAHEAD_S = 45;

  /** Minimum time span of a rate, in seconds; a shorter span would overrate a single arrival. */
  private static final double MIN_SPAN_S = 60;

  /** The kind of objective that limits the waiting time until the first start. */
  private static final String WAIT_OBJECTIVE = "wait";

  private record Arrival(JobSpec spec, MonotonicTime at) {}

  /** The strictest wait objective of each class that has one, in seconds. */
  private final Map<String, Double> maxWaitSByClass = new HashMap<>();

  private final Map<String, ArrayDeque<Arrival>> recentByClass = new HashMap<>();

  /** Creates empty rates for the classes that have a wait objective. */
  public ArrivalRates(List<Objective> objectives) {
    for (Objective objective : objectives) {
      if (objective.kind().equals(WAIT_OBJECTIVE)) {
        objective
            .jobClass()
            .ifPresent(name -> maxWaitSByClass.merge(name, objective.withinS(), Math::min));
      }
    }
  }

  /** Records the arrival of a job if jobs of its class can't wait for a machine to boot. */
  public void recordArrival(JobSpec spec, MonotonicTime at) {
    Double maxWaitS = maxWaitSByClass.get(spec.jobClass());
    if (maxWaitS != null && maxWaitS < LOOKAHEAD_S) {
      recentByClass
          .computeIfAbsent(spec.jobClass(), jobClass -> new ArrayDeque<>())
          .add(new Arrival(spec, at));
    }
  }

  /** The jobs expected within the lookahead, as copies of the latest arrivals of each class. */
  List<Snapshot.JobView> expectedJobs(MonotonicTime now, int zoneCount) {
    List<Snapshot.JobView> expectedJobs = new ArrayList<>();
    for (ArrayDeque<Arrival> recent : recentByClass.values()) {
      removeExpired(recent, now);
      int count = recent.isEmpty() ? 0 : expectedCount(recent, now);
      Iterator<Arrival> latest = recent.descendingIterator();
      for (int i = 0; i < count; i++) {
        expectedJobs.add(Snapshot.JobView.expected(latest.next().spec(), i, zoneCount));
      }
    }
    return expectedJobs;
  }

  private static void removeExpired(ArrayDeque<Arrival> recent, MonotonicTime now) {
    while (!recent.isEmpty() && now.secondsSince(recent.peekFirst().at()) > WINDOW_S) {
      recent.pollFirst();
    }
  }

  /**
   * The expected number of arrivals within the lookahead plus their standard deviation, as of a
   * Poisson process.
   */
  private static int expectedCount(ArrayDeque<Arrival> recent, MonotonicTime now) {
    double spanS = Math.min(WINDOW_S, now.secondsSince(recent.peekFirst().at()));
    double mean = recent.size() / Math.max(MIN_SPAN_S, spanS) * LOOKAHEAD_S;
    return (int) Math.min(recent.size(), mean + Math.sqrt(mean));
  }
}
