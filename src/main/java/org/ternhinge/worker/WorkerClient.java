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

/** Sends direct commands to workers, from any thread. */
public interface WorkerClient {

  /** A worker's response to commands. */
  sealed interface Answer {
    /** The worker's heartbeat after the commands. */
    Heartbeat heartbeat();

    /**
     * The commands were executed.
     *
     * @param heartbeat the worker's state afterwards
     */
    record Executed(Heartbeat heartbeat) implements Answer {}

    /**
     * Nothing was executed: the worker has seen a higher fencing token or has another epoch.
     *
     * @param heartbeat the worker's present state
     */
    record Refused(Heartbeat heartbeat) implements Answer {}
  }

  /**
   * Sends commands to a worker. {@link Outcome.Unknown} means that they may have been executed, or
   * may still be; {@link Outcome.Reason#WITHDRAWN} that {@code maySend} no longer held.
   *
   * @param worker address of the worker
   * @param term fencing token of the sender
   * @param epoch incarnation of the worker that the commands are meant for
   * @param commands in the order of their execution; an empty list asks for a heartbeat only
   * @param maySend evaluated right before the commands are written, since the process may have been
   *     paused in between; called on any thread
   */
  CompletableFuture<Outcome<Answer>> command(
      Endpoint worker,
      Term term,
      AgentEpoch epoch,
      List<Command> commands,
      BooleanSupplier maySend);

  /** Closes the connections to a worker that will not be called again. */
  void closeConnections(Endpoint worker);
}
