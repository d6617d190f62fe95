package org.ternhinge.machine;

import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;

/**
 * Attributes the failures of tasks to machines or to jobs, and quarantines machines that are at
 * fault. Guarded by the controller's lock.
 *
 * <p>One failure is evidence against both the machine and the job. A job of which a task has
 * succeeded, or has been running for a while, is healthy, so its failures are attributed to the
 * machine. Failures of any other job are evidence against a machine only as long as the job has
 * failed on no other machine, and then several such jobs have to fail there. A job that has failed
 * on several machines without a success is at fault itself and {@linkplain JobBackoff backs off}.
 */
public final class TaskFailures {
  private static final Logger LOG = LoggerFactory.getLogger(TaskFailures.class);

  /** Seconds for which nothing is placed on a machine that refused a task for want of room. */
  private static final double NO_ROOM_S = 5;

  /** Failures of healthy jobs without a success between them that quarantine a machine. */
  private static final int QUARANTINE_AFTER_FAILURES = 2;

  /** The same where jobs are not known to be healthy; each of these counts once. */
  private static final int QUARANTINE_AFTER_JOBS = 3;

  private static final double QUARANTINE_S = 600;

  private final MachineRegistry machines;
  private final JobBackoff jobBackoff;

  /**
   * Creates an instance without failures.
   *
   * @param changesPerS changes per second that the key-value store accepts
   */
  public TaskFailures(
      Ledger ledger, MachineRegistry machines, double changesPerS, MonotonicTime now) {
    this.machines = machines;
    this.jobBackoff = new JobBackoff(ledger, changesPerS, now);
  }

  /** The back-off of jobs that fail on every machine. */
  public JobBackoff jobBackoff() {
    return jobBackoff;
  }

  /** A task has succeeded: neither its machine nor its job is at fault. */
  public void succeeded(Machine machine, Job job, MonotonicTime now) {
    if (!machine.health().isQuarantined(now)) {
      machine.health().failures().clear();
    }
    Set<MachineId> failedBefore = jobBackoff.succeeded(job);
    for (MachineId id : failedBefore) {
      machines.find(id).ifPresent(other -> attributeToMachine(other, job, now));
    }
  }

  /** A job that had failed on a machine has proved healthy. */
  private void attributeToMachine(Machine machine, Job job, MonotonicTime now) {
    machine.health().failures().jobIsHealthy(job.spec().id());
    updateQuarantine(machine, now);
  }

  /** A task has failed by itself. */
  public void failed(Machine machine, Job job, MonotonicTime now) {
    JobId id = job.spec().id();
    JobFailures jobFailures = jobBackoff.failed(machine, job, now);
    if (JobBackoff.isHealthy(job, now)) {
      machine.health().failures().healthyJobFailed();
    } else {
      machine.health().failures().otherJobFailed(id);
      jobBackoff.backOffIfAtFault(job, jobFailures, now);
    }
    updateQuarantine(machine, now);
    if (JobBackoff.hasBecomeSuspect(jobFailures)) {
      // Its earlier failures are no longer evidence against machines.
      updateQuarantines(jobFailures.machines(), now);
    }
  }

  /** A machine has refused a task for want of room. */
  public void noRoom(Machine machine, MonotonicTime now) {
    machine.health().refusesTasksUntil(now.plusSeconds(NO_ROOM_S));
  }

  /** A worker has refused a task since it could not get the job's description yet. */
  public void unknownJob(Job job, MonotonicTime now) {
    jobBackoff.unknownJob(job, now);
  }

  private void updateQuarantines(Set<MachineId> ids, MonotonicTime now) {
    for (MachineId id : ids) {
      machines.find(id).ifPresent(machine -> updateQuarantine(machine, now));
    }
  }

  /** Starts or ends the quarantine of a machine as the failures attributed to it require. */
  private void updateQuarantine(Machine machine, MonotonicTime now) {
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
    MachineFailures failures = machine.health().failures();
    int ofHealthyJobs = failures.countOfHealthyJobs();
    int ofOthers = failures.countOfOtherJobs(id -> !jobBackoff.isSuspect(id));
    return ofHealthyJobs >= QUARANTINE_AFTER_FAILURES
        || ofHealthyJobs + ofOthers >= QUARANTINE_AFTER_JOBS;
  }
}
