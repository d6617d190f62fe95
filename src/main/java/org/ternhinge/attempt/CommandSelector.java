package org.ternhinge.attempt;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.wire.Command;

/**
 * Selects the commands for the next message to a worker. Drops starts that became obsolete while
 * queued. Guarded by the controller's lock.
 */
final class CommandSelector {
  private final Ledger ledger;
  private final FencingTokens tokens;

  CommandSelector(Ledger ledger, FencingTokens tokens) {
    this.ledger = ledger;
    this.tokens = tokens;
  }

  /**
   * Removes the commands for one message from a machine's outbox and marks the starts among them as
   * outstanding.
   */
  List<Command> takeNext(Machine machine) {
    List<Command> commands = new ArrayList<>();
    while (!machine.outbox().isEmpty()
        && commands.size() < CommandDispatcher.MAX_COMMANDS_PER_MESSAGE) {
      Command command = machine.outbox().take();
      if (command.op() == Command.Op.START) {
        if (!isStartCurrent(command, machine)) {
          continue;
        }
        machine
            .outstandingStarts()
            .recordSent(command.task(), command.attempt(), tokens.tokenOf(machine));
      }
      commands.add(command);
    }
    return commands;
  }

  private boolean isStartCurrent(Command start, Machine machine) {
    Job job = ledger.job(start.task().job());
    Attempt attempt = job == null ? null : job.openAttempt(start.task().index());
    return attempt != null
        && attempt.number().equals(start.attempt())
        && !attempt.isStopRequested()
        && attempt.isDurable()
        && attempt.epoch().equals(machine.agent().epoch());
  }
}
