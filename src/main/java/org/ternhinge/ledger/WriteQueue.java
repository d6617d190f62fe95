package org.ternhinge.ledger;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;

/** Queue of the jobs with pending writes, which are ordered by urgency. */
final class WriteQueue {

  /** Urgency classes of pending writes, most urgent first. */
  enum Urgency {
    /** Cancellations, which users wait for. */
    CANCELLATIONS,
    /** Opened attempts of jobs with production priority. */
    PRODUCTION_STARTS,
    /** Final records of jobs. */
    JOB_ENDS,
    /** Opened attempts of jobs with high priority. */
    HIGH_PRIORITY_STARTS,
    /** Opened attempts of all other jobs, and overdue ends of tasks. */
    STARTS,
    /** Ends of tasks, which are batched for a short time. */
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

  /** Adds a job; a job that is already queued keeps its position and time. */
  void add(Job job) {
    if (jobs.add(job)) {
      job.record().setDirtySince(clock.now());
    }
  }

  void remove(Job job) {
    jobs.remove(job);
  }

  /**
   * Returns the jobs that may be written, by urgency, in the order in which they were queued.
   *
   * @param batchedBefore ends of tasks that were queued after this time are still batched
   * @param overdueBefore ends of tasks that were queued before this time are as urgent as starts
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
    if (job.isCancelledByDependency()) {
      // The cancellation is already visible to users, and there may be thousands of such jobs.
      return Urgency.TASK_ENDS;
    }
    if (job.isCancelled()) {
      return Urgency.CANCELLATIONS;
    }
    if (job.isFinished()) {
      return Urgency.JOB_ENDS;
    }
    if (!job.record().hasUnsentAttempts()) {
      return job.record().dirtySince().isBefore(overdueBefore) ? Urgency.STARTS : Urgency.TASK_ENDS;
    }
    return switch (job.plannedSpec().priority()) {
      case PRODUCTION -> Urgency.PRODUCTION_STARTS;
      case HIGH -> Urgency.HIGH_PRIORITY_STARTS;
      default -> Urgency.STARTS;
    };
  }
}
