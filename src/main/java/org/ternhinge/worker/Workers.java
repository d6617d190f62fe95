package org.ternhinge.worker;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;

/** Direct commands to workers. */
public interface Workers {

  /** What a worker said to commands. */
  sealed interface Answer {
    /** The worker's heartbeat after the commands. */
    Heartbeat heartbeat();

    /** The commands were carried out; the heartbeat was made after them. */
    record Executed(Heartbeat heartbeat) implements Answer {}

    /** Nothing was carried out: the fencing token or the epoch did not fit. */
    record Refused(Heartbeat heartbeat) implements Answer {}
  }

  /**
   * Sends commands to a worker; none at all asks for a heartbeat only.
   *
   * @param maySend asked once more right before the commands leave, since the process may have
   *     stood still in between; called on any thread
   */
  CompletableFuture<Outcome<Answer>> command(
      Endpoint worker,
      Term term,
      AgentEpoch epoch,
      List<Command> commands,
      BooleanSupplier maySend);

  /** The worker at this address is of no more use. */
  void forget(Endpoint worker);
}
