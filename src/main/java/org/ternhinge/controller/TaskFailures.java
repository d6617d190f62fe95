package org.ternhinge.controller;

import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Job;
import org.ternhinge.model.JobId;
import org.ternhinge.model.SteadyTime;

/**
 * Tells a machine that fails its tasks from a job that fails on every machine. The machine is set
 * aside when tasks fail on it in a row; the job is put off for longer and longer, and from then on
 * no longer counts against machines. Guarded by the controller's lock.
 */
final class TaskFailures {
  private static final Logger LOG = LoggerFactory.getLogger(TaskFailures.class);

  /** How long nothing is placed on a machine that refused a task for want of room. */
  private static final double NO_ROOM_S = 5;

  /** How long a job rests after an end whose reason the worker does not know. */
  private static final double UNKNOWN_END_S = 3;

  /** A job that fails on so many machines is at fault itself. */
  private static final int JOB_AT_FAULT_MACHINES = 3;

  /** A failing job rests for so long at first, twice as long after each further machine. */
  private static final double FAILING_JOB_FIRST_S = 2;

  private static final double FAILING_JOB_MAX_S = 60;

  /** Tasks that have to fail in a row on a machine before the machine is taken for sick. */
  private static final int SICK_AFTER_ERRORS = 2;

  private static final double SICK_S = 600;

  private final Map<JobId, JobFailures> failures;

  TaskFailures(Map<JobId, JobFailures> failures) {
    this.failures = failures;
  }

  /** A task was done: both its machine and its job are well. */
  void succeeded(Machine machine, Job job) {
    machine.errorsInARow = 0;
    machine.errorJobs.clear();
    failures.remove(job.spec().id());
  }

  /** A task failed by itself. */
  void failed(Machine machine, Job job, SteadyTime now) {
    JobFailures jobFailures = of(job);
    jobFailures.failedOn(machine.id, now);
    if (jobFailures.machines() >= JOB_AT_FAULT_MACHINES) {
      jobFailures.until = now.plusSeconds(restS(jobFailures.machines()));
      return;
    }
    machine.errorsInARow++;
    machine.errorJobs.add(job.spec().id());
    if (machine.errorsInARow >= SICK_AFTER_ERRORS && !machine.sick(now)) {
      machine.sickUntil = now.plusSeconds(SICK_S);
      LOG.info("machine {} fails its tasks and is set aside", machine.id);
    }
  }

  /** A start was refused for want of room. */
  void noRoom(Machine machine, SteadyTime now) {
    machine.noRoomUntil = now.plusSeconds(NO_ROOM_S);
  }

  /** A start was refused since the worker could not get the job's description yet. */
  void unknownJob(Job job, SteadyTime now) {
    of(job).until = now.plusSeconds(UNKNOWN_END_S);
  }

  private static double restS(int machines) {
    double rest = FAILING_JOB_FIRST_S * Math.pow(2, machines - JOB_AT_FAULT_MACHINES);
    return Math.min(FAILING_JOB_MAX_S, rest);
  }

  private JobFailures of(Job job) {
    return failures.computeIfAbsent(job.spec().id(), id -> new JobFailures());
  }
}
