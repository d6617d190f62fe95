package org.ternhinge.attempt;

import java.util.List;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.wire.Command;

/**
 * A message of commands that was sent to one worker.
 *
 * @param epoch the worker's epoch that the commands are meant for
 * @param commands what it carries; none at all asks for the worker's status only
 */
record CommandMessage(
    Machine machine, AgentEpoch epoch, List<Command> commands, MonotonicTime sentAt) {

  /**
   * Settles the starts that it carries: each has been carried out, or never will be. Changes
   * nothing once the worker has begun another epoch, which none of them reaches.
   */
  void settleStarts() {
    if (!epoch.equals(machine.agent().epoch())) {
      return;
    }
    for (Command command : commands) {
      if (command.op() == Command.Op.START) {
        machine.outstandingStarts().settled(command.task(), command.attempt());
      }
    }
  }
}
