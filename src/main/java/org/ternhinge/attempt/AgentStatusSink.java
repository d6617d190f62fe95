package org.ternhinge.attempt;

import org.ternhinge.machine.Machine;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.wire.Heartbeat;

/** Receives the status of worker agents, from heartbeats and from responses to commands. */
@FunctionalInterface
public interface AgentStatusSink {
  /** What has become of a status. */
  enum Result {
    /** The status is the newest of its worker and was applied. */
    APPLIED,
    /** The status is no newer than one applied before, and changed nothing. */
    OUTDATED
  }

  /**
   * Applies a worker's status. Called under the controller's lock.
   *
   * @param now when the message was received
   */
  Result apply(Machine machine, Heartbeat status, MessageOrigin origin, MonotonicTime now);
}
