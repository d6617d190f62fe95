package org.ternhinge.attempt;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.wire.Command;

/**
 * Chooses the commands of the next message to a worker. Starts that became obsolete while they
 * waited are dropped. Guarded by the controller's lock.
 */
final class CommandSelector {
  private final Ledger ledger;

  CommandSelector(Ledger ledger) {
    this.ledger = ledger;
  }

  /**
   * Removes the commands of one message from a machine's outbox. Their starts are outstanding from
   * here on.
   */
  List<Command> takeNext(Machine machine) {
    List<Command> commands = new ArrayList<>();
    while (!machine.outbox().isEmpty()
        && commands.size() < CommandDispatcher.MAX_COMMANDS_PER_MESSAGE) {
      Command command = machine.outbox().take();
      if (command.op() == Command.Op.START) {
        if (!isStartWanted(command, machine)) {
          continue;
        }
        machine.outstandingStarts().sent(command.task(), command.attempt());
      }
      commands.add(command);
    }
    return commands;
  }

  private boolean isStartWanted(Command start, Machine machine) {
    Job job = ledger.job(start.task().job());
    Attempt attempt = job == null ? null : job.openAttempt(start.task().index());
    return attempt != null
        && attempt.number().equals(start.attempt())
        && !attempt.isStopRequested()
        && attempt.isDurable()
        && attempt.epoch().equals(machine.agent().epoch());
  }
}
