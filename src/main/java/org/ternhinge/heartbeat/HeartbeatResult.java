package org.ternhinge.heartbeat;

import java.util.List;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Command;

/** The result of processing a heartbeat. */
public sealed interface HeartbeatResult {

  /**
   * A response is to be sent, which renews the worker's lease.
   *
   * @param token the fencing token of the response
   * @param commands the commands for the worker, most urgent first
   */
  record Accepted(Term token, List<Command> commands) implements HeartbeatResult {}

  /** No response may be sent, because it would renew the worker's lease. */
  enum Rejected implements HeartbeatResult {
    /** The worker has seen a higher term, so this leadership has ended. */
    HIGHER_TERM,
    /** The machine no longer exists; the heartbeat is a delayed duplicate. */
    MACHINE_REMOVED,
    /** The machine is considered terminated. */
    MACHINE_TERMINATED,
    /** The worker's epoch is considered ended. */
    EPOCH_ENDED
  }
}
