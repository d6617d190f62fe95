package org.ternhinge.attempt;

import org.ternhinge.machine.Machine;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.wire.Heartbeat;

/** Receives the status reports of worker agents, from heartbeats and from command responses. */
@FunctionalInterface
public interface AgentStatusSink {
  /** How a status report was handled. */
  enum Result {
    /** The report is the worker's latest and was applied. */
    APPLIED,
    /** The report is no newer than one already applied, and was ignored. */
    OUTDATED
  }

  /**
   * Applies a worker's status. Called under the controller's lock.
   *
   * @param now when the message was received
   */
  Result apply(Machine machine, Heartbeat status, MessageOrigin origin, MonotonicTime now);
}
