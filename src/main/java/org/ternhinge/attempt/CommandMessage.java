package org.ternhinge.attempt;

import java.util.List;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.wire.Command;

/**
 * A message with commands that was sent to one worker.
 *
 * @param epoch the worker epoch that the commands apply to
 * @param commands the commands; an empty list only requests the worker's status
 */
record CommandMessage(
    Machine machine, AgentEpoch epoch, List<Command> commands, MonotonicTime sentAt) {

  /**
   * Marks the starts in this message as settled: the worker refused them, or they were not
   * delivered and never will be. Does nothing if the worker has begun another epoch, in which these
   * starts are not accepted.
   */
  void settleStarts() {
    if (!epoch.equals(machine.agent().epoch())) {
      return;
    }
    for (Command command : commands) {
      if (command.op() == Command.Op.START) {
        machine.outstandingStarts().settle(command.task(), command.attempt());
      }
    }
  }
}
