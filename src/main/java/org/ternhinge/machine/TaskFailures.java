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
 * Attributes failures of tasks to machines or to jobs, and quarantines faulty machines. Guarded by
 * the controller's lock.
 *
 * <p>A single failure is evidence against both the machine and the job. A job is healthy if one of
 * its tasks has succeeded or has been running for a while; its failures are attributed to the
 * machine. Failures of any other job count against a machine only if the job has failed on no other
 * machine, and several such jobs have to fail there. A job that has failed on several machines
 * without a success is considered faulty and {@linkplain JobBackoff backs off}.
 */
public final class TaskFailures {
  private static final Logger LOG = LoggerFactory.getLogger(TaskFailures.class);

  /** Seconds without placements on a machine that refused a task for lack of resources. */
  private static final double REFUSAL_PAUSE_S = 5;

  /**
   * Number of failures of healthy jobs, without a success between them, after which a machine is
   * quarantined.
   */
  private static final int QUARANTINE_AFTER_FAILURES = 2;

  /**
   * Like {@link #QUARANTINE_AFTER_FAILURES}, if jobs that are not known to be healthy are included;
   * each of these counts once.
   */
  private static final int QUARANTINE_AFTER_JOBS = 3;

  private static final double QUARANTINE_S = 600;

  private final MachineRegistry machines;
  private final JobBackoff jobBackoff;

  /**
   * Creates an instance without failures.
   *
   * @param changesPerS change rate that the key-value store accepts, per second
   */
  public TaskFailures(
      Ledger ledger, MachineRegistry machines, double changesPerS, MonotonicTime now) {
    this.machines = machines;
    this.jobBackoff = new JobBackoff(ledger, changesPerS, now);
  }

  /** Returns the back-off of jobs that fail on every machine. */
  public JobBackoff jobBackoff() {
    return jobBackoff;
  }

  /** Records the success of a task, which clears its machine and its job of suspicion. */
  public void recordSuccess(Machine machine, Job job, MonotonicTime now) {
    if (!machine.health().isQuarantined(now)) {
      machine.health().failures().clear();
    }
    Set<MachineId> failedMachines = jobBackoff.recordSuccess(job);
    for (MachineId id : failedMachines) {
      machines.find(id).ifPresent(other -> attributeToMachine(other, job, now));
    }
  }

  /** Attributes earlier failures of a job to a machine after the job has proved healthy. */
  private void attributeToMachine(Machine machine, Job job, MonotonicTime now) {
    machine.health().failures().markJobHealthy(job.spec().id());
    updateQuarantine(machine, now);
  }

  /** Records the failure of a task that was not caused by the controller. */
  public void recordFailure(Machine machine, Job job, MonotonicTime now) {
    JobId id = job.spec().id();
    JobFailures jobFailures = jobBackoff.recordFailure(machine, job, now);
    if (JobBackoff.isHealthy(job, now)) {
      machine.health().failures().recordHealthyJobFailure();
    } else {
      machine.health().failures().recordUnprovenJobFailure(id);
      jobBackoff.backOffIfFaulty(job, jobFailures, now);
    }
    updateQuarantine(machine, now);
    if (JobBackoff.hasBecomeSuspect(jobFailures)) {
      // The earlier failures of the job no longer count against machines.
      updateQuarantines(jobFailures.machines(), now);
    }
  }

  /** Records that a machine refused a task for lack of resources. */
  public void recordRefusal(Machine machine, MonotonicTime now) {
    machine.health().blockPlacementsUntil(now.plusSeconds(REFUSAL_PAUSE_S));
  }

  /**
   * Records that a worker refused a task because it could not read the description of the job yet.
   */
  public void recordUnknownJob(Job job, MonotonicTime now) {
    jobBackoff.recordUnknownJob(job, now);
  }

  private void updateQuarantines(Set<MachineId> ids, MonotonicTime now) {
    for (MachineId id : ids) {
      machines.find(id).ifPresent(machine -> updateQuarantine(machine, now));
    }
  }

  /** Starts or ends the quarantine of a machine according to the failures attributed to it. */
  private void updateQuarantine(Machine machine, MonotonicTime now) {
    boolean quarantine = shouldQuarantine(machine);
    if (quarantine && !machine.health().isQuarantined(now)) {
      machine.health().quarantineUntil(now.plusSeconds(QUARANTINE_S));
      LOG.info("machine {} quarantined: tasks repeatedly failed on it", machine.id());
    } else if (!quarantine && machine.health().isQuarantined(now)) {
      machine.health().endQuarantine();
      LOG.info(
          "machine {} released from quarantine: the jobs that failed on it also fail elsewhere",
          machine.id());
    }
  }

  private boolean shouldQuarantine(Machine machine) {
    MachineFailures failures = machine.health().failures();
    int healthyJobFailures = failures.healthyJobFailureCount();
    int unprovenJobs = failures.unprovenJobCount(id -> !jobBackoff.isSuspect(id));
    return healthyJobFailures >= QUARANTINE_AFTER_FAILURES
        || healthyJobFailures + unprovenJobs >= QUARANTINE_AFTER_JOBS;
  }
}
