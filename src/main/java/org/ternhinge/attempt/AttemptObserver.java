package org.ternhinge.attempt;

import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.AttemptState;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.machine.TaskFailures;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.TaskStatus;

/**
 * Applies the tasks that a worker's newest status shows to the open attempts: their states, and the
 * ends that the worker reports. Guarded by the controller's lock.
 */
public final class AttemptObserver {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptObserver.class);

  private final AttemptLifecycle attempts;
  private final Ledger ledger;
  private final MachineTypeCatalog machineTypes;
  private final TaskFailures failures;
  private final Metrics metrics;

  /** Creates an observer of one leadership's attempts. */
  public AttemptObserver(
      AttemptLifecycle attempts,
      Ledger ledger,
      MachineTypeCatalog machineTypes,
      TaskFailures failures,
      Metrics metrics) {
    this.attempts = attempts;
    this.ledger = ledger;
    this.machineTypes = machineTypes;
    this.failures = failures;
    this.metrics = metrics;
  }

  /** Applies the tasks of a status that are attempts of the ledger on that machine. */
  public void observeAll(Machine machine, Heartbeat status, SteadyTime now) {
    for (TaskStatus task : status.tasks()) {
      Job job = ledger.job(task.task().job());
      Attempt attempt = job == null ? null : job.open(task.task().index());
      if (attempt != null && isStatusOf(attempt, task, machine, status)) {
        attempt.shownIn(machine.tasksRevision());
        observe(machine, attempt, task, now);
      }
    }
  }

  private static boolean isStatusOf(
      Attempt attempt, TaskStatus task, Machine machine, Heartbeat status) {
    return attempt.number().equals(task.attempt())
        && attempt.machine().equals(machine.id())
        && attempt.epoch().equals(status.epoch());
  }

  private void observe(Machine machine, Attempt attempt, TaskStatus task, SteadyTime now) {
    if (task.ended()) {
      ended(machine, attempt, task.endReason(), now);
    } else {
      running(machine, attempt, stateOf(task), now);
    }
  }

  private void running(Machine machine, Attempt attempt, AttemptState state, SteadyTime now) {
    AttemptState before = attempt.state();
    attempt.observe(state, now);
    JobSpec spec = attempt.job().spec();
    if (state != AttemptState.FETCHING || machine.hasImage(spec.image())) {
      useImage(machine, spec);
    }
    if (attempt.recovered()) {
      return;
    }
    if (before == AttemptState.STARTING) {
      machine.health().reachability().effectSeen();
    }
    if (before != state && attempt.state() == AttemptState.RUNNING) {
      metrics.recordStart(now.secondsSince(attempt.openedAt()));
    }
  }

  private static AttemptState stateOf(TaskStatus task) {
    return switch (task.state()) {
      case FETCHING -> AttemptState.FETCHING;
      case WAITING -> AttemptState.WAITING;
      case CHECKPOINTING -> AttemptState.CHECKPOINTING;
      default -> AttemptState.RUNNING;
    };
  }

  private void useImage(Machine machine, JobSpec spec) {
    Optional<MachineType> machineType = machineTypes.typeOf(machine);
    double cacheGb = machineType.isPresent() ? machineType.get().cacheGb() : Double.MAX_VALUE;
    machine.useImage(spec.image(), spec.imageGb(), cacheGb);
  }

  private void ended(Machine machine, Attempt attempt, EndReason endReason, SteadyTime now) {
    Job job = attempt.job();
    LOG.debug(
        "{} attempt {} on {} ended: {}", attempt.task(), attempt.number(), machine.id(), endReason);
    recordOutcome(machine, job, endReason, now);
    if (attempt.state() == AttemptState.RUNNING && endReason != EndReason.ERROR) {
      useImage(machine, job.spec());
    }
    attempts.close(attempt, ClosingEvidence.reported(endReason));
  }

  /** Records what the end of a task tells about its machine and its job. */
  private void recordOutcome(Machine machine, Job job, EndReason endReason, SteadyTime now) {
    switch (endReason) {
      case DONE -> failures.succeeded(machine, job, now);
      case ERROR -> failures.failed(machine, job, now);
      case NO_ROOM -> failures.noRoom(machine, now);
      case UNKNOWN -> failures.unknownJob(job, now);
      default -> {
        // The task was stopped or lost its peers, which tells nothing about machine or job.
      }
    }
  }
}
