package org.ternhinge.heartbeat;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.attempt.CommandDispatcher;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.Command;

/**
 * The commands in one heartbeat response: stops, then forgets, then starts, each in insertion
 * order. Stops come first so that they are not truncated when there are more commands than one
 * message may contain.
 */
final class CommandList {
  private final List<Command> commands = new ArrayList<>();
  private int stops;
  private int forgets;

  void addStop(TaskId task, AttemptNumber attempt, double graceS) {
    commands.add(stops, new Command(Command.Op.STOP, task, attempt, graceS));
    stops++;
  }

  void addForget(TaskId task, AttemptNumber attempt) {
    commands.add(stops + forgets, new Command(Command.Op.FORGET, task, attempt, 0));
    forgets++;
  }

  void addStart(Attempt attempt) {
    commands.add(new Command(Command.Op.START, attempt.task(), attempt.number(), 0));
  }

  /** Whether the maximum number of commands per message is reached. */
  boolean isFull() {
    return commands.size() >= CommandDispatcher.MAX_COMMANDS_PER_MESSAGE;
  }

  /** Returns the commands, truncated to the maximum number per message. */
  List<Command> commands() {
    return commands.size() > CommandDispatcher.MAX_COMMANDS_PER_MESSAGE
        ? commands.subList(0, CommandDispatcher.MAX_COMMANDS_PER_MESSAGE)
        : commands;
  }
}
