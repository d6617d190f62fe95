package org.ternhinge.heartbeat;

import java.util.List;
import org.ternhinge.attempt.StartFence;
import org.ternhinge.attempt.UnexpectedTaskLog;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.AttemptState;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.TaskStatus;

/**
 * Selects the commands for heartbeat responses. The rules:
 *
 * <pre>
 * reported task without open attempt    command
 * ------------------------------------  --------------------------------------------------
 * not ended                             stop without grace period
 * ended, and its end is durable         forget, unless a direct start of it may be executed again
 * ended, and its end is not durable     none: the task is forgotten once it is
 *
 * open attempt of the worker's epoch    command
 * ------------------------------------  --------------------------------------------------
 * stopping, was reported                stop, unless checkpointing within its grace period
 * stopping, was never reported          none: a start of it may be in flight
 * starting and durable                  start, unless an earlier leader may have sent it
 * other                                 none
 * </pre>
 *
 * <p>A worker that has forgotten a task would run it again if a start of it arrived late or twice;
 * {@link StartFence} prevents that. Guarded by the controller's lock.
 */
final class HeartbeatCommands {
  private final Ledger ledger;
  private final StartFence startFence;
  private final UnexpectedTaskLog unexpectedTasks;

  HeartbeatCommands(LeadershipContext context, StartFence startFence) {
    this.ledger = context.ledger();
    this.startFence = startFence;
    this.unexpectedTasks = new UnexpectedTaskLog(context);
  }

  /** Returns the commands for the response to a worker's latest heartbeat. */
  List<Command> commands(Machine machine, Heartbeat heartbeat) {
    CommandList commands = new CommandList();
    for (TaskStatus task : heartbeat.tasks()) {
      if (!ledger.hasOpenAttempt(task, machine.id())) {
        addForTaskWithoutAttempt(machine, task, commands);
      }
    }
    for (Attempt attempt : ledger.attemptsOn(machine.id())) {
      if (attempt.epoch().equals(heartbeat.epoch())) {
        addForAttempt(attempt, heartbeat, commands);
      }
    }
    return commands.commands();
  }

  /** Returns the stops that are due on a machine, regardless of what its heartbeat reports. */
  List<Command> stops(Machine machine) {
    CommandList commands = new CommandList();
    for (Attempt attempt : ledger.attemptsOn(machine.id())) {
      if (attempt.epoch().equals(machine.agent().epoch()) && isStopDue(attempt)) {
        commands.addStop(attempt.task(), attempt.number(), attempt.stopGraceS());
      }
    }
    return commands.commands();
  }

  private void addForTaskWithoutAttempt(Machine machine, TaskStatus task, CommandList commands) {
    if (!task.ended()) {
      unexpectedTasks.record(machine, task);
      commands.addStop(task.task(), task.attempt(), 0);
    } else if (isEndDurable(task)
        && startFence.allowsForget(machine, task.task(), task.attempt())) {
      commands.addForget(task.task(), task.attempt());
    }
  }

  private static void addForAttempt(Attempt attempt, Heartbeat heartbeat, CommandList commands) {
    if (isStopDue(attempt)) {
      commands.addStop(attempt.task(), attempt.number(), attempt.stopGraceS());
    } else if (isStartDue(attempt) && !commands.isFull()) {
      attempt.setStartHeartbeatSequence(heartbeat.sequence());
      commands.addStart(attempt);
    }
  }

  private boolean isEndDurable(TaskStatus task) {
    Job job = ledger.job(task.task().job());
    return job == null || job.isRecorded(task.task().index());
  }

  private static boolean isStopDue(Attempt attempt) {
    return attempt.isStopRequested()
        && attempt.isReported()
        && !isCheckpointingWithinGrace(attempt);
  }

  private static boolean isCheckpointingWithinGrace(Attempt attempt) {
    return attempt.state() == AttemptState.CHECKPOINTING && attempt.stopGraceS() != 0;
  }

  private static boolean isStartDue(Attempt attempt) {
    return !attempt.isStopRequested()
        && attempt.state() == AttemptState.STARTING
        && !attempt.isRecovered();
  }
}
