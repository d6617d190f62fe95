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
 * Back-off of jobs whose tasks fail on every machine. Guarded by the controller's lock.
 *
 * <p>A job that has failed on several machines without a success backs off exponentially, and only
 * one of its tasks is tried at a time. The level of the back-off is kept in the job's record, so
 * that the next leader continues from it. The first success ends the back-off.
 */
public final class JobBackoff {
  private static final Logger LOG = LoggerFactory.getLogger(JobBackoff.class);

  /** Seconds for which a job is blocked after a task ended for a reason unknown to the worker. */
  private static final double UNKNOWN_END_S = 3;

  /** Failures of a job on this many machines, without a success, are not held against machines. */
  private static final int SUSPECT_MACHINES = 2;

  /** A job that fails on this many machines without a success backs off. */
  private static final int BACKOFF_MACHINES = 3;

  /** Seconds of the first back-off, which doubles with each further try. */
  private static final double FIRST_BACKOFF_S = 2;

  private static final double MAX_BACKOFF_S = 60;

  /**
   * A task that has run for this many seconds shows that its job is healthy: a job that was
   * submitted with a mistake fails as soon as it is started.
   */
  private static final double HEALTHY_RUN_S = 20;

  /** Changes of the key-value store that one retry costs: its attempt opens and closes. */
  private static final double CHANGES_PER_RETRY = 2;

  /** Share of the key-value store's changes that the retries of all failing jobs may use. */
  private static final double RETRY_SHARE = 0.1;

  /** Number of entries from which those of finished jobs are first removed. */
  private static final int FIRST_PRUNE_SIZE = 64;

  private final Ledger ledger;
  private final RetrySlots slots;
  private final Map<JobId, JobFailures> failuresByJob = new HashMap<>();
  private int nextPruneSize = FIRST_PRUNE_SIZE;

  /**
   * Creates a back-off without failures.
   *
   * @param changesPerS changes per second that the key-value store accepts
   */
  JobBackoff(Ledger ledger, double changesPerS, MonotonicTime now) {
    this.ledger = ledger;
    this.slots = new RetrySlots(CHANGES_PER_RETRY / (changesPerS * RETRY_SHARE), now);
  }

  // ---- what has happened to tasks ---------------------------------------------------------------

  /** Jobs that backed off under an earlier leader continue at the level that they had reached. */
  public void recover(Collection<Job> jobs, MonotonicTime now) {
    for (Job job : jobs) {
      if (job.backoffLevel() > 0) {
        backOff(job, job.backoffLevel(), now);
      }
    }
  }

  /**
   * Ends the back-off of a job of which a task has succeeded.
   *
   * @return the machines on which its tasks had failed since the last success
   */
  Set<MachineId> succeeded(Job job) {
    ledger.setBackoffLevel(job, 0);
    JobFailures failures = failuresByJob.remove(job.spec().id());
    return failures == null ? Set.of() : failures.machines();
  }

  /** Records a failed task, and returns all failures of its job since the last success. */
  JobFailures failed(Machine machine, Job job, MonotonicTime now) {
    JobFailures failures = failuresOf(job);
    failures.failedOn(machine.id(), now);
    return failures;
  }

  /** Lets a job that is not known to be healthy back off if it has failed on enough machines. */
  void backOffIfAtFault(Job job, JobFailures failures, MonotonicTime now) {
    boolean atFault = failures.triesSingleTasks() || failures.machineCount() >= BACKOFF_MACHINES;
    // Tasks that ran at the same time fail at the same time, which counts as one try.
    if (atFault && !failures.isBlocked(now)) {
      backOff(job, failures.backoffLevel() + 1, now);
    }
  }

  /** Blocks a job for a short time since a worker could not get its description yet. */
  void unknownJob(Job job, MonotonicTime now) {
    JobFailures failures = failuresOf(job);
    if (!failures.isBlocked(now)) {
      failures.startAfter(now.plusSeconds(UNKNOWN_END_S));
    }
  }

  private void backOff(Job job, int level, MonotonicTime now) {
    MonotonicTime until = slots.take(now.plusSeconds(backoffS(level)), now);
    failuresOf(job).backOff(level, until);
    ledger.setBackoffLevel(job, level);
    LOG.info(
        "job {} fails on every machine and backs off for {} s",
        job.spec().id(),
        Math.round(until.secondsSince(now)));
  }

  private static double backoffS(int level) {
    return Math.min(MAX_BACKOFF_S, FIRST_BACKOFF_S * Math.pow(2, level - 1));
  }

  // ---- what follows for placements --------------------------------------------------------------

  /** Whether no task of a job may be started now. */
  public boolean isBlocked(Job job, MonotonicTime now) {
    JobFailures failures = failuresByJob.get(job.spec().id());
    if (failures == null) {
      return false;
    }
    if (!failures.triesSingleTasks()) {
      return failures.isBlocked(now);
    }
    boolean triesNow = !job.spec().isGang() && !job.openAttempts().isEmpty();
    return (failures.isBlocked(now) || triesNow) && !isHealthy(job, now);
  }

  /** Whether only one task of a job may be started at a time, since the job backs off. */
  public boolean triesSingleTask(Job job, MonotonicTime now) {
    JobFailures failures = failuresByJob.get(job.spec().id());
    return failures != null
        && failures.triesSingleTasks()
        && !job.spec().isGang()
        && !isHealthy(job, now);
  }

  /** The machines on which no task of a job should be placed now. */
  public Set<MachineId> avoidedBy(Job job, MonotonicTime now) {
    JobFailures failures = failuresByJob.get(job.spec().id());
    return failures == null ? Set.of() : failures.avoidedMachines(now);
  }

  // ---- what follows for the health of machines --------------------------------------------------

  /** Whether a task of a job has succeeded, or has been running for a while. */
  static boolean isHealthy(Job job, MonotonicTime now) {
    if (job.doneCount() > 0) {
      return true;
    }
    for (Attempt attempt : job.openAttempts()) {
      MonotonicTime since = attempt.runningSince();
      if (since != null && now.secondsSince(since) > HEALTHY_RUN_S) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether the failures of a job without a success are not evidence against machines: it fails on
   * several machines, or has ended.
   */
  boolean isSuspect(JobId id) {
    JobFailures failures = failuresByJob.get(id);
    return failures == null
        || failures.triesSingleTasks()
        || failures.machineCount() >= SUSPECT_MACHINES;
  }

  /** Whether a job became suspect by its last failure, as far as the count of machines decides. */
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
