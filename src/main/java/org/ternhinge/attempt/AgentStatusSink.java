package org.ternhinge.attempt;

import org.ternhinge.machine.Machine;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.Heartbeat;

/** Takes in what a worker says of itself, wherever it was said. */
@FunctionalInterface
public interface AgentStatusSink {
  /**
   * Applies a message of a worker, under the controller's lock.
   *
   * @param isHeartbeat whether the worker sent it by itself, rather than in answer to a command
   * @return false if a newer message was already known
   */
  boolean take(Machine machine, Heartbeat heartbeat, boolean isHeartbeat, SteadyTime now);
}
