package org.ternhinge.heartbeat;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.attempt.CommandDispatcher;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.AttemptState;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.TaskStatus;

/**
 * The commands that go with the answers to heartbeats. A worker is told to forget an attempt only
 * when no start of it can come after: that would run the task again. Guarded by the controller's
 * lock.
 */
public final class HeartbeatCommands {
  private static final int MAX_COMMANDS = CommandDispatcher.MAX_COMMANDS;

  private final Ledger ledger;

  public HeartbeatCommands(Ledger ledger) {
    this.ledger = ledger;
  }

  /**
   * What a worker is to do, by its newest heartbeat. Stops come first: they are what must not be
   * cut off where there is more to tell than one answer carries.
   */
  List<Command> commands(Machine machine, Heartbeat heartbeat) {
    List<Command> stops = new ArrayList<>();
    List<Command> forgets = new ArrayList<>();
    addUnheld(machine, heartbeat, stops, forgets);
    List<Command> starts = new ArrayList<>();
    for (Attempt attempt : ledger.attemptsOn(machine.id())) {
      if (!attempt.epoch().equals(heartbeat.epoch())) {
        continue;
      }
      if (attempt.stopping()) {
        addStop(attempt, stops);
      } else if (awaitsStart(attempt)
          && stops.size() + forgets.size() + starts.size() < MAX_COMMANDS) {
        attempt.startAnswered(heartbeat.sequence());
        starts.add(new Command(Command.Op.START, attempt.task(), attempt.number(), 0));
      }
    }
    stops.addAll(forgets);
    stops.addAll(starts);
    return stops.size() > MAX_COMMANDS ? stops.subList(0, MAX_COMMANDS) : stops;
  }

  private static boolean awaitsStart(Attempt attempt) {
    return attempt.state() == AttemptState.STARTING && attempt.durable() && !attempt.recovered();
  }

  /**
   * What the worker shows and the ledger does not hold there: nobody may have such a task run, and
   * the worker may forget the end of one that is recorded. Only then: afterwards a repeated start
   * would run it.
   */
  private void addUnheld(
      Machine machine, Heartbeat heartbeat, List<Command> stops, List<Command> forgets) {
    for (TaskStatus task : heartbeat.tasks()) {
      if (ledger.holds(task, machine.id())) {
        continue;
      }
      if (!task.ended()) {
        stops.add(new Command(Command.Op.STOP, task.task(), task.attempt(), 0));
      } else if (isRecorded(task)
          && !machine.outstandingStarts().mayArrive(task.task(), task.attempt())) {
        forgets.add(new Command(Command.Op.FORGET, task.task(), task.attempt(), 0));
      }
    }
  }

  private boolean isRecorded(TaskStatus task) {
    Job job = ledger.job(task.task().job());
    return job == null || job.recorded(task.task().index());
  }

  /** The stops that are due on a machine, whatever its heartbeat at hand shows. */
  List<Command> stops(Machine machine) {
    List<Command> stops = new ArrayList<>();
    for (Attempt attempt : ledger.attemptsOn(machine.id())) {
      if (attempt.stopping()
          && attempt.epoch().equals(machine.agent().epoch())
          && stops.size() < MAX_COMMANDS) {
        addStop(attempt, stops);
      }
    }
    return stops;
  }

  /**
   * Adds the stop of an attempt, unless its start was never seen to arrive, or it is saving within
   * the grace that it was given.
   */
  private static void addStop(Attempt attempt, List<Command> stops) {
    AttemptState seen = attempt.state();
    double graceS = attempt.stopGraceS();
    if (seen != AttemptState.STARTING && (seen != AttemptState.CHECKPOINTING || graceS == 0)) {
      stops.add(new Command(Command.Op.STOP, attempt.task(), attempt.number(), graceS));
    }
  }
}
