package org.ternhinge.heartbeat;

import java.util.List;
import org.ternhinge.wire.Command;

/** Whether a heartbeat is to be answered, and with what. */
public sealed interface HeartbeatResult {

  /**
   * The heartbeat is to be answered, which renews the worker's lease.
   *
   * @param commands for the worker, the most urgent first
   */
  record Answered(List<Command> commands) implements HeartbeatResult {}

  /** The heartbeat must not be answered, for an answer would renew the worker's lease. */
  enum NotAnswered implements HeartbeatResult {
    /** The worker has seen a higher term, so this leadership is over. */
    HIGHER_TERM,
    /** The machine is gone: the heartbeat is a late copy. */
    MACHINE_REMOVED,
    /** The machine is held to be terminated. */
    MACHINE_TERMINATED,
    /** The worker's epoch is held to have ended. */
    EPOCH_ENDED
  }
}
