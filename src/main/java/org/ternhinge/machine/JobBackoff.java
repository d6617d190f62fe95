package org.ternhinge.machine;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;

/**
 * Exponential back-off of jobs whose tasks fail on every machine. Guarded by the controller's lock.
 *
 * <p>A job that has failed on several machines without a success backs off exponentially, with at
 * most one task tried at a time. The back-off level is stored in the job's record, so that the next
 * leader continues from it. The first success ends the back-off.
 */
public final class JobBackoff {
  private static final Logger LOG = LoggerFactory.getLogger(JobBackoff.class);

  /**
   * Seconds for which a job is blocked after a worker refused a start because it did not know the
   * job.
   */
  private static final double UNKNOWN_JOB_BLOCK_S = 3;

  /**
   * Number of machines on which a job has to fail, without a success, for its failures to no longer
   * count against machines.
   */
  private static final int SUSPECT_MACHINES = 2;

  /** Number of machines on which a job has to fail, without a success, to back off. */
  private static final int BACKOFF_MACHINES = 3;

  /** Length of the first back-off in seconds; it doubles with each further try. */
  private static final double FIRST_BACKOFF_S = 2;

  private static final double MAX_BACKOFF_S = 60;

  /**
   * Run time in seconds of a task that proves its job healthy: a job that was submitted with a
   * mistake fails as soon as it is started.
   */
  private static final double HEALTHY_RUN_TIME_S = 20;

  /** Changes of the key-value store per retry: one to open the attempt and one to close it. */
  private static final double CHANGES_PER_RETRY = 2;

  /**
   * Share of the key-value store's change rate that is available to the retries of all failing
   * jobs.
   */
  private static final double RETRY_SHARE = 0.1;

  /** Number of entries at which those of finished jobs are first pruned. */
  private static final int FIRST_PRUNE_SIZE = 64;

  private final Ledger ledger;
  private final RetrySlots slots;
  private final Map<JobId, JobFailures> failuresByJob = new HashMap<>();
  private int nextPruneSize = FIRST_PRUNE_SIZE;

  /**
   * Creates a back-off without failures.
   *
   * @param changesPerS change rate that the key-value store accepts, per second
   */
  JobBackoff(Ledger ledger, double changesPerS, MonotonicTime now) {
    this.ledger = ledger;
    this.slots = new RetrySlots(CHANGES_PER_RETRY / (changesPerS * RETRY_SHARE), now);
  }

  // ---- outcomes of tasks ------------------------------------------------------------------------

  /** Restores the back-off of jobs at the levels that they reached under earlier leaders. */
  public void recover(Collection<Job> jobs, MonotonicTime now) {
    for (Job job : jobs) {
      if (job.backoffLevel() > 0) {
        backOff(job, job.backoffLevel(), now);
      }
    }
  }

  /**
   * Ends the back-off of a job after one of its tasks has succeeded.
   *
   * @return the machines on which its tasks have failed since the last success
   */
  Set<MachineId> recordSuccess(Job job) {
    ledger.setBackoffLevel(job, 0);
    JobFailures failures = failuresByJob.remove(job.spec().id());
    return failures == null ? Set.of() : failures.machines();
  }

  /** Records the failure of a task and returns all failures of its job since the last success. */
  JobFailures recordFailure(Machine machine, Job job, MonotonicTime now) {
    JobFailures failures = failuresOf(job);
    failures.recordFailure(machine.id(), now);
    return failures;
  }

  /**
   * Starts or extends the back-off of a job that is not known to be healthy if it has failed on
   * enough machines.
   */
  void backOffIfFaulty(Job job, JobFailures failures, MonotonicTime now) {
    boolean faulty = failures.isBackingOff() || failures.machineCount() >= BACKOFF_MACHINES;
    // Simultaneous failures of tasks that ran concurrently count as one try.
    if (faulty && !failures.isBlocked(now)) {
      backOff(job, failures.backoffLevel() + 1, now);
    }
  }

  /** Blocks a job for a short time because a worker could not read its description yet. */
  void recordUnknownJob(Job job, MonotonicTime now) {
    JobFailures failures = failuresOf(job);
    if (!failures.isBlocked(now)) {
      failures.blockUntil(now.plusSeconds(UNKNOWN_JOB_BLOCK_S));
    }
  }

  private void backOff(Job job, int level, MonotonicTime now) {
    MonotonicTime until = slots.reserve(now.plusSeconds(backoffS(level)), now);
    failuresOf(job).backOff(level, until);
    ledger.setBackoffLevel(job, level);
    LOG.info(
        "job {} failed on several machines without a success; backing off for {} s",
        job.spec().id(),
        Math.round(until.secondsSince(now)));
  }

  private static double backoffS(int level) {
    return Math.min(MAX_BACKOFF_S, FIRST_BACKOFF_S * Math.pow(2, level - 1));
  }

  // ---- effect on placements ---------------------------------------------------------------------

  /** Returns whether no task of a job may be started now. */
  public boolean isBlocked(Job job, MonotonicTime now) {
    JobFailures failures = failuresByJob.get(job.spec().id());
    if (failures == null) {
      return false;
    }
    if (!failures.isBackingOff()) {
      return failures.isBlocked(now);
    }
    boolean tryInProgress = !job.spec().isGang() && !job.openAttempts().isEmpty();
    return (failures.isBlocked(now) || tryInProgress) && !isHealthy(job, now);
  }

  /** Returns whether a job backs off, so that only one of its tasks may be started at a time. */
  public boolean isLimitedToSingleTask(Job job, MonotonicTime now) {
    JobFailures failures = failuresByJob.get(job.spec().id());
    return failures != null
        && failures.isBackingOff()
        && !job.spec().isGang()
        && !isHealthy(job, now);
  }

  /** Returns the machines on which no task of a job should be placed now. */
  public Set<MachineId> avoidedMachines(Job job, MonotonicTime now) {
    JobFailures failures = failuresByJob.get(job.spec().id());
    return failures == null ? Set.of() : failures.avoidedMachines(now);
  }

  // ---- effect on the health of machines ---------------------------------------------------------

  /**
   * Returns whether a job is healthy: a task of it has succeeded, or has been running for a while.
   */
  static boolean isHealthy(Job job, MonotonicTime now) {
    if (job.doneCount() > 0) {
      return true;
    }
    for (Attempt attempt : job.openAttempts()) {
      MonotonicTime since = attempt.runningSince();
      if (since != null && now.secondsSince(since) > HEALTHY_RUN_TIME_S) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether failures of a job without a success do not count against machines, because it
   * has failed on several machines or has ended.
   */
  boolean isSuspect(JobId id) {
    JobFailures failures = failuresByJob.get(id);
    return failures == null
        || failures.isBackingOff()
        || failures.machineCount() >= SUSPECT_MACHINES;
  }

  /**
   * Returns whether the last failure raised the number of machines to the limit from which a job is
   * suspect.
   */
  static boolean hasBecomeSuspect(JobFailures failures) {
    return failures.machineCount() == SUSPECT_MACHINES;
  }

  private JobFailures failuresOf(Job job) {
    if (failuresByJob.size() >= nextPruneSize) {
      failuresByJob.keySet().removeIf(id -> ledger.job(id) == null);
      nextPruneSize = Math.max(nextPruneSize, 2 * failuresByJob.size());
    }
    return failuresByJob.computeIfAbsent(job.spec().id(), id -> new JobFailures());
  }
}
