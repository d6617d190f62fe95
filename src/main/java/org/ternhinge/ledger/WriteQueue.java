package org.ternhinge.ledger;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;

/** Jobs with something to write, and how urgent it is. */
final class WriteQueue {

  /** What a job has to write, the most urgent first. */
  enum Urgency {
    /** Cancellations, which users wait for. */
    CANCELLATIONS,
    /** Attempts of jobs of production priority. */
    PRODUCTION_STARTS,
    /** Final records of jobs. */
    JOB_ENDS,
    /** Attempts of jobs of high priority. */
    HIGH_PRIORITY_STARTS,
    /** Attempts of all other jobs, and ends of tasks that are overdue. */
    STARTS,
    /** Ends of tasks, which are batched for a moment. */
    TASK_ENDS
  }

  private final Clock clock;
  private final Set<Job> jobs = new LinkedHashSet<>();

  WriteQueue(Clock clock) {
    this.clock = clock;
  }

  boolean isEmpty() {
    return jobs.isEmpty();
  }

  /** Adds a job; one that is queued already keeps its place and its time. */
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
   * @param batchedBefore ends of tasks that came later than this wait for more
   * @param overdueBefore ends of tasks that came before this no longer wait behind starts
   */
  Map<Urgency, List<Job>> ready(MonotonicTime batchedBefore, MonotonicTime overdueBefore) {
    Map<Urgency, List<Job>> ready = new EnumMap<>(Urgency.class);
    for (Urgency urgency : Urgency.values()) {
      ready.put(urgency, new ArrayList<>());
    }
    for (Job job : jobs) {
      Urgency urgency = urgency(job, overdueBefore);
      if (urgency != Urgency.TASK_ENDS || !batchedBefore.isBefore(job.record().dirtySince())) {
        ready.get(urgency).add(job);
      }
    }
    return ready;
  }

  private static Urgency urgency(Job job, MonotonicTime overdueBefore) {
    if (job.cancelledByDependency()) {
      // Users see the cancellation already, and there may be thousands of such jobs.
      return Urgency.TASK_ENDS;
    }
    if (job.cancelled()) {
      return Urgency.CANCELLATIONS;
    }
    if (job.over()) {
      return Urgency.JOB_ENDS;
    }
    if (!job.record().opensAttempts()) {
      return job.record().dirtySince().isBefore(overdueBefore) ? Urgency.STARTS : Urgency.TASK_ENDS;
    }
    return switch (job.planned().priority()) {
      case PRODUCTION -> Urgency.PRODUCTION_STARTS;
      case HIGH -> Urgency.HIGH_PRIORITY_STARTS;
      default -> Urgency.STARTS;
    };
  }
}
