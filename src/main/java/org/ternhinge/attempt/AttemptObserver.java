package org.ternhinge.attempt;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.AttemptState;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.TaskFailures;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.TaskStatus;

/**
 * Settles open attempts by what a worker's newest message shows: what has ended, or is proven to be
 * gone, is closed in the ledger. Guarded by the controller's lock.
 */
public final class AttemptObserver {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptObserver.class);

  private final AttemptLifecycle attempts;
  private final Authority authority;
  private final Ledger ledger;
  private final Map<String, MachineType> machineTypes;
  private final TaskFailures failures;
  private final Metrics metrics;

  public AttemptObserver(
      AttemptLifecycle attempts,
      Authority authority,
      Ledger ledger,
      Map<String, MachineType> machineTypes,
      TaskFailures failures,
      Metrics metrics) {
    this.attempts = attempts;
    this.authority = authority;
    this.ledger = ledger;
    this.machineTypes = machineTypes;
    this.failures = failures;
    this.metrics = metrics;
  }

  /** Takes in the tasks that a message shows. */
  public void observeAll(Machine machine, Heartbeat heartbeat, SteadyTime now) {
    for (TaskStatus task : heartbeat.tasks()) {
      Job job = ledger.job(task.task().job());
      Attempt attempt = job == null ? null : job.open(task.task().index());
      if (attempt != null
          && attempt.number().equals(task.attempt())
          && attempt.machine().equals(machine.id())
          && attempt.epoch().equals(heartbeat.epoch())) {
        attempt.shownIn(machine.tasksRevision());
        observe(machine, attempt, task, now);
      }
    }
  }

  private void observe(Machine machine, Attempt attempt, TaskStatus task, SteadyTime now) {
    if (task.ended()) {
      ended(machine, attempt, task.endReason(), now);
      return;
    }
    AttemptState before = attempt.state();
    AttemptState state = stateOf(task);
    attempt.observe(state, now);
    JobSpec spec = attempt.job().spec();
    if (state != AttemptState.FETCHING || machine.hasImage(spec.image())) {
      hasImage(machine, spec);
    }
    if (attempt.recovered()) {
      return;
    }
    if (before == AttemptState.STARTING) {
      machine.health().reachability().effectSeen();
    }
    if (before != state && state == AttemptState.RUNNING) {
      metrics.started(now.secondsSince(attempt.openedAt()));
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

  private void hasImage(Machine machine, JobSpec spec) {
    MachineType machineType = machineTypes.get(machine.description().typeName());
    double cacheGb = machineType == null ? Double.MAX_VALUE : machineType.cacheGb();
    machine.useImage(spec.image(), spec.imageGb(), cacheGb);
  }

  /**
   * Looks at the open attempts that the machine does not show.
   *
   * @return whether it lacks a start that an answer has carried before
   */
  public boolean settleUnshown(Machine machine, Heartbeat heartbeat, boolean isHeartbeat) {
    List<Attempt> unshown = null;
    for (Attempt attempt : ledger.attemptsOn(machine.id())) {
      if (attempt.shownIn() != machine.tasksRevision()
          && attempt.epoch().equals(heartbeat.epoch())) {
        unshown = unshown == null ? new ArrayList<>() : unshown;
        unshown.add(attempt);
      }
    }
    if (unshown == null) {
      return false;
    }
    boolean missedStart = false;
    for (Attempt attempt : unshown) {
      missedStart |= absent(machine, attempt, heartbeat, isHeartbeat);
    }
    return missedStart;
  }

  /**
   * The worker does not show an open attempt. That proves it gone only if no start of it can still
   * arrive: an earlier leader's can't once the worker has seen this term; an own one can't once the
   * worker has shown it, or if it went out in an answer alone and a later heartbeat has come.
   *
   * @return whether the worker has missed the answer that carried the start
   */
  private boolean absent(
      Machine machine, Attempt attempt, Heartbeat heartbeat, boolean isHeartbeat) {
    if (!attempt.durable()) {
      return false;
    }
    if (attempt.recovered()) {
      if (heartbeat.fencingToken().compareTo(authority.term()) >= 0) {
        attempts.close(attempt, false, "never arrived or is gone");
      }
      return false;
    }
    if (attempt.state() != AttemptState.STARTING) {
      attempts.close(attempt, false, "vanished");
      return false;
    }
    boolean inAnswer = attempt.startAnswered() >= 0;
    boolean answerSettled =
        !inAnswer || (isHeartbeat && heartbeat.sequence() > attempt.startAnswered());
    if (!attempt.stopping()) {
      return isHeartbeat && inAnswer && answerSettled;
    }
    if (answerSettled && !machine.outstandingStarts().mayArrive(attempt.task(), attempt.number())) {
      attempts.close(attempt, false, "stopped before it started");
    }
    return false;
  }

  private void ended(Machine machine, Attempt attempt, EndReason endReason, SteadyTime now) {
    Job job = attempt.job();
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "{} attempt {} on {} ended: {}",
          attempt.task(),
          attempt.number(),
          machine.id(),
          endReason);
    }
    switch (endReason) {
      case DONE -> failures.succeeded(machine, job, now);
      case ERROR -> failures.failed(machine, job, now);
      case NO_ROOM -> failures.noRoom(machine, now);
      case UNKNOWN -> failures.unknownJob(job, now);
      default -> {}
    }
    if (attempt.state() == AttemptState.RUNNING && endReason != EndReason.ERROR) {
      hasImage(machine, job.spec());
    }
    attempts.close(attempt, endReason == EndReason.DONE, endReason.word());
  }
}
