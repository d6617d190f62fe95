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
import org.ternhinge.model.SteadyTime;

/**
 * Tells a machine that fails its tasks from a job that fails on every machine. Guarded by the
 * controller's lock.
 *
 * <p>One failure is evidence against both. A job of which a task was ever done, or has run for a
 * while, is healthy, so its failures count against the machine. Any other job counts against a
 * machine only while it has failed nowhere else, and then several such jobs have to fail there. A
 * job that has failed on several machines, and nowhere succeeded, is at fault itself: it backs off
 * for longer and longer, one of its tasks is tried at a time, and the level of its back-off is kept
 * in its record, so that the next leader goes on from there.
 */
public final class TaskFailures {
  private static final Logger LOG = LoggerFactory.getLogger(TaskFailures.class);

  /** How long nothing is placed on a machine that refused a task for want of room. */
  private static final double NO_ROOM_S = 5;

  /** How long a job rests after an end whose reason the worker does not know. */
  private static final double UNKNOWN_END_S = 3;

  /** A job that fails on so many machines, and has nothing done, counts against none of them. */
  private static final int JOB_SUSPECT_MACHINES = 2;

  /** A job that fails on so many machines, and has nothing done, backs off. */
  private static final int JOB_AT_FAULT_MACHINES = 3;

  /** A failing job rests for so long at first, twice as long after each further try. */
  private static final double FAILING_JOB_FIRST_S = 2;

  private static final double FAILING_JOB_MAX_S = 60;

  /** Failures in a row, of jobs known to be in order, after which a machine is quarantined. */
  private static final int QUARANTINE_AFTER_FAILURES = 2;

  /** The same where the jobs are not known to be in order; each job counts once. */
  private static final int QUARANTINE_AFTER_JOBS = 3;

  private static final double QUARANTINE_S = 600;

  /**
   * A task that has run for so long shows that its job is healthy: a job that was submitted with a
   * mistake fails as soon as it is started.
   */
  private static final double RUNS_WELL_S = 20;

  /** Changes of the key-value store that one retry costs: its attempt opens and closes. */
  private static final double CHANGES_PER_RETRY = 2;

  /** The part of the key-value store's changes that all retries of failing jobs may take. */
  private static final double RETRY_SHARE = 0.1;

  private final Ledger ledger;
  private final MachineRegistry machines;
  private final RetrySlots slots;
  private final Map<JobId, JobFailures> failures = new HashMap<>();

  /** Forgets failures of jobs that are over when there are so many entries. */
  private int pruneAt = 64;

  /**
   * Creates a part that knows of no failures.
   *
   * @param changesPerS changes a second that the key-value store takes
   */
  public TaskFailures(Ledger ledger, MachineRegistry machines, double changesPerS, SteadyTime now) {
    this.ledger = ledger;
    this.machines = machines;
    this.slots = new RetrySlots(CHANGES_PER_RETRY / (changesPerS * RETRY_SHARE), now);
  }

  /** Jobs that backed off under an earlier leader go on doing so, at the level they had reached. */
  public void recover(Collection<Job> jobs, SteadyTime now) {
    for (Job job : jobs) {
      if (job.backoffLevel() > 0) {
        backOff(job, job.backoffLevel(), now);
      }
    }
  }

  /** A task was done: both its machine and its job are well. */
  public void succeeded(Machine machine, Job job, SteadyTime now) {
    if (!machine.health().isQuarantined(now)) {
      machine.health().failures().clear();
    }
    ledger.setBackoffLevel(job, 0);
    JobFailures jobFailures = failures.remove(job.spec().id());
    if (jobFailures != null) {
      jobFailures.machines().forEach(id -> blame(id, job, now));
    }
  }

  /** What failed on a machine is done now: that was the machine's fault. */
  private void blame(MachineId id, Job job, SteadyTime now) {
    Machine machine = machines.find(id);
    if (machine != null) {
      machine.health().failures().jobIsHealthy(job.spec().id());
      reconsider(machine, now);
    }
  }

  /** A task failed by itself. */
  public void failed(Machine machine, Job job, SteadyTime now) {
    JobId id = job.spec().id();
    JobFailures jobFailures = of(job);
    jobFailures.failedOn(machine.id(), now);
    if (isHealthy(job, now)) {
      machine.health().failures().healthyJobFailed();
    } else {
      machine.health().failures().otherJobFailed(id);
      backOffIfAtFault(job, jobFailures, now);
    }
    reconsider(machine, now);
    if (jobFailures.machineCount() == JOB_SUSPECT_MACHINES) {
      // What it said of the machines before is void.
      for (MachineId other : jobFailures.machines()) {
        reconsider(machines.find(other), now);
      }
    }
  }

  private void backOffIfAtFault(Job job, JobFailures jobFailures, SteadyTime now) {
    boolean atFault =
        jobFailures.triesSingleTasks() || jobFailures.machineCount() >= JOB_AT_FAULT_MACHINES;
    // Tasks that were under way together fail together, which is one try.
    if (atFault && !jobFailures.blocked(now)) {
      backOff(job, jobFailures.backoffLevel() + 1, now);
    }
  }

  /** A start was refused for want of room. */
  public void noRoom(Machine machine, SteadyTime now) {
    machine.health().refusesTasksUntil(now.plusSeconds(NO_ROOM_S));
  }

  /** A start was refused since the worker could not get the job's description yet. */
  public void unknownJob(Job job, SteadyTime now) {
    JobFailures jobFailures = of(job);
    if (!jobFailures.blocked(now)) {
      jobFailures.startAfter(now.plusSeconds(UNKNOWN_END_S));
    }
  }

  private void backOff(Job job, int level, SteadyTime now) {
    SteadyTime until = slots.take(now.plusSeconds(restS(level)), now);
    of(job).backOff(level, until);
    ledger.setBackoffLevel(job, level);
    LOG.info(
        "job {} fails on every machine and backs off for {} s",
        job.spec().id(),
        Math.round(until.secondsSince(now)));
  }

  private static double restS(int level) {
    double rest = FAILING_JOB_FIRST_S * Math.pow(2, level - 1);
    return Math.min(FAILING_JOB_MAX_S, rest);
  }

  /** Quarantines a machine, or takes it back, by what is known of its failures now. */
  private void reconsider(Machine machine, SteadyTime now) {
    if (machine == null) {
      return;
    }
    boolean quarantine = shouldQuarantine(machine);
    if (quarantine && !machine.health().isQuarantined(now)) {
      machine.health().quarantineUntil(now.plusSeconds(QUARANTINE_S));
      LOG.info("machine {} quarantined: its tasks fail", machine.id());
    } else if (!quarantine && machine.health().isQuarantined(now)) {
      machine.health().endQuarantine();
      LOG.info(
          "machine {} out of quarantine: the jobs that failed there fail elsewhere too",
          machine.id());
    }
  }

  private boolean shouldQuarantine(Machine machine) {
    int ofHealthyJobs = machine.health().failures().countOfHealthyJobs();
    int ofOthers = machine.health().failures().countOfOtherJobs(id -> !isSuspect(id));
    return ofHealthyJobs >= QUARANTINE_AFTER_FAILURES
        || ofHealthyJobs + ofOthers >= QUARANTINE_AFTER_JOBS;
  }

  /** Whether a task of the job was done once, or runs well now. */
  private static boolean isHealthy(Job job, SteadyTime now) {
    if (job.doneCount() > 0) {
      return true;
    }
    for (Attempt attempt : job.openAttempts()) {
      SteadyTime since = attempt.runningSince();
      if (since != null && now.secondsSince(since) > RUNS_WELL_S) {
        return true;
      }
    }
    return false;
  }

  /** Whether nothing of a job may be started now. */
  public boolean isBlocked(Job job, SteadyTime now) {
    JobFailures jobFailures = failures.get(job.spec().id());
    if (jobFailures == null) {
      return false;
    }
    if (!jobFailures.triesSingleTasks()) {
      return jobFailures.blocked(now);
    }
    boolean triesNow = !job.spec().isGang() && !job.openAttempts().isEmpty();
    return (jobFailures.blocked(now) || triesNow) && !isHealthy(job, now);
  }

  /** Whether only one task of a job is to be tried, since it has failed everywhere so far. */
  public boolean triesSingleTask(Job job, SteadyTime now) {
    JobFailures jobFailures = failures.get(job.spec().id());
    return jobFailures != null
        && jobFailures.triesSingleTasks()
        && !job.spec().isGang()
        && !isHealthy(job, now);
  }

  /** Where nothing of a job should go now. */
  public Set<MachineId> avoidedBy(Job job, SteadyTime now) {
    JobFailures jobFailures = failures.get(job.spec().id());
    return jobFailures == null ? Set.of() : jobFailures.avoid(now);
  }

  /**
   * Whether the failures of a job of which nothing was done say nothing of machines: it fails on
   * several, or is over.
   */
  private boolean isSuspect(JobId id) {
    JobFailures jobFailures = failures.get(id);
    return jobFailures == null
        || jobFailures.triesSingleTasks()
        || jobFailures.machineCount() >= JOB_SUSPECT_MACHINES;
  }

  private JobFailures of(Job job) {
    if (failures.size() >= pruneAt) {
      failures.keySet().removeIf(id -> ledger.job(id) == null);
      pruneAt = Math.max(pruneAt, 2 * failures.size());
    }
    return failures.computeIfAbsent(job.spec().id(), id -> new JobFailures());
  }
}
