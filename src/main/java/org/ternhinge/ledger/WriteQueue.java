package org.ternhinge.ledger;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.model.Clock;
import org.ternhinge.model.SteadyTime;

/** Jobs with something to write, and how urgent it is. */
final class WriteQueue {

  /** What a job has to write, the most urgent first. */
  enum Urgency {
    CANCELS,
    PRODUCTION_OPENS,
    ENDS,
    HIGH_OPENS,
    OPENS,
    /** Ends of tasks, which are batched for a moment. */
    ENDINGS
  }

  private final Clock clock;
  private final Set<Job> jobs = new LinkedHashSet<>();

  WriteQueue(Clock clock) {
    this.clock = clock;
  }

  boolean isEmpty() {
    return jobs.isEmpty();
  }

  /** Adds a job; one that waits already keeps its place and its time. */
  void add(Job job) {
    if (jobs.add(job)) {
      job.record().dirtySince(clock.now());
    }
  }

  void remove(Job job) {
    jobs.remove(job);
  }

  /**
   * The jobs that may be written, by urgency, those that have waited longest first.
   *
   * @param batchedBefore endings that came later than this wait for more
   * @param overdueBefore endings that came before this no longer wait behind opens
   */
  Map<Urgency, List<Job>> ready(SteadyTime batchedBefore, SteadyTime overdueBefore) {
    Map<Urgency, List<Job>> ready = new EnumMap<>(Urgency.class);
    for (Urgency urgency : Urgency.values()) {
      ready.put(urgency, new ArrayList<>());
    }
    for (Job job : jobs) {
      Urgency urgency = urgency(job, overdueBefore);
      if (urgency != Urgency.ENDINGS || !batchedBefore.isBefore(job.record().dirtySince())) {
        ready.get(urgency).add(job);
      }
    }
    return ready;
  }

  private static Urgency urgency(Job job, SteadyTime overdueBefore) {
    if (job.cancelledByDependency()) {
      // Users are told already, and there may be thousands of them.
      return Urgency.ENDINGS;
    }
    if (job.cancelled()) {
      return Urgency.CANCELS;
    }
    if (job.over()) {
      return Urgency.ENDS;
    }
    if (!job.record().opensAttempts()) {
      return job.record().dirtySince().isBefore(overdueBefore) ? Urgency.OPENS : Urgency.ENDINGS;
    }
    return switch (job.planned().priority()) {
      case PRODUCTION -> Urgency.PRODUCTION_OPENS;
      case HIGH -> Urgency.HIGH_OPENS;
      default -> Urgency.OPENS;
    };
  }
}
