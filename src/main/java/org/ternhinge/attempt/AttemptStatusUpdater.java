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
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.TaskStatus;

/**
 * Updates the open attempts from the tasks in a worker's latest status report: their states and
 * their reported ends. Guarded by the controller's lock.
 */
public final class AttemptStatusUpdater {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptStatusUpdater.class);

  private final AttemptLifecycle attempts;
  private final Ledger ledger;
  private final MachineTypeCatalog machineTypes;
  private final TaskFailures failures;
  private final Metrics metrics;

  /** Creates an updater for the attempts of one leadership term. */
  public AttemptStatusUpdater(
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

  /** Applies the reported tasks that match an open attempt on the machine. */
  public void applyReportedTasks(Machine machine, Heartbeat status, MonotonicTime now) {
    for (TaskStatus task : status.tasks()) {
      Job job = ledger.job(task.task().job());
      Attempt attempt = job == null ? null : job.openAttempt(task.task().index());
      if (attempt != null && isStatusOf(attempt, task, machine, status)) {
        attempt.setLastReportedRevision(machine.tasksRevision());
        applyReport(machine, attempt, task, now);
      }
    }
  }

  private static boolean isStatusOf(
      Attempt attempt, TaskStatus task, Machine machine, Heartbeat status) {
    return attempt.number().equals(task.attempt())
        && attempt.machine().equals(machine.id())
        && attempt.epoch().equals(status.epoch());
  }

  private void applyReport(Machine machine, Attempt attempt, TaskStatus task, MonotonicTime now) {
    if (task.ended()) {
      applyEnd(machine, attempt, task.endReason(), now);
    } else {
      applyState(machine, attempt, toAttemptState(task), now);
    }
  }

  private void applyState(Machine machine, Attempt attempt, AttemptState state, MonotonicTime now) {
    AttemptState before = attempt.state();
    attempt.observe(state, now);
    JobSpec spec = attempt.job().spec();
    if (state != AttemptState.FETCHING || machine.hasImage(spec.image())) {
      useImage(machine, spec);
    }
    if (attempt.isRecovered()) {
      return;
    }
    if (before == AttemptState.STARTING) {
      machine.health().reachability().recordCommandEffect();
    }
    if (before != state && attempt.state() == AttemptState.RUNNING) {
      metrics.recordStart(now.secondsSince(attempt.openedAt()));
    }
  }

  private static AttemptState toAttemptState(TaskStatus task) {
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
    machine.recordImageUse(spec.image(), spec.imageGb(), cacheGb);
  }

  private void applyEnd(Machine machine, Attempt attempt, EndReason endReason, MonotonicTime now) {
    Job job = attempt.job();
    LOG.debug(
        "task {} attempt {} on {} ended: {}",
        attempt.task(),
        attempt.number(),
        machine.id(),
        endReason);
    recordOutcome(machine, job, endReason, now);
    if (attempt.state() == AttemptState.RUNNING && endReason != EndReason.ERROR) {
      useImage(machine, job.spec());
    }
    attempts.close(attempt, ClosingEvidence.reported(endReason));
  }

  /** Records the success or failure of the task for its machine and its job. */
  private void recordOutcome(Machine machine, Job job, EndReason endReason, MonotonicTime now) {
    switch (endReason) {
      case DONE -> failures.recordSuccess(machine, job, now);
      case ERROR -> failures.recordFailure(machine, job, now);
      case NO_ROOM -> failures.recordRefusal(machine, now);
      case UNKNOWN -> failures.recordUnknownJob(job, now);
      default -> {
        // A task that was stopped or lost its peers is no failure of the machine or the job.
      }
    }
  }
}
