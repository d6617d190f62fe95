package org.ternhinge.attempt;

import java.util.List;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.ternhinge.http.SocketBudget;
import org.ternhinge.ledger.Authority;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Term;
import org.ternhinge.term.ControllerServices;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.wire.Command;
import org.ternhinge.worker.WorkerClient;
import org.ternhinge.worker.WorkerClient.Answer;

/**
 * Sends messages to workers and counts those in flight, since each occupies a socket. Guarded by
 * the controller's lock.
 */
final class CommandSender {
  private final LeadershipExecutor executor;
  private final WorkerClient workers;
  private final Authority authority;
  private final Lock lock;
  private final int maxInFlight;
  private int inFlight;

  CommandSender(LeadershipContext context) {
    ControllerServices services = context.services();
    this.executor = context.executor();
    this.workers = services.workers();
    this.authority = context.authority();
    this.lock = services.lock();
    this.maxInFlight = SocketBudget.of(services.settings().maxSockets()).maxOutboundCalls();
  }

  /** Returns how many more messages may be sent now. */
  int freeSlots() {
    return Math.max(0, maxInFlight - inFlight);
  }

  /** Whether another message may be sent now. */
  boolean hasFreeSlot() {
    return freeSlots() > 0;
  }

  /**
   * Sends a message, even if there is no free slot.
   *
   * @param token the fencing token of the message
   * @param handler receives the outcome under the lock
   */
  void send(
      Endpoint worker,
      Term token,
      AgentEpoch epoch,
      List<Command> commands,
      Consumer<Outcome<Answer>> handler) {
    inFlight++;
    executor.whenAnswered(
        workers.command(worker, token, epoch, commands, this::maySend),
        outcome -> {
          inFlight--;
          handler.accept(outcome);
        });
  }

  /**
   * Checks the authority again immediately before a command is sent. The process may have been
   * paused, or connecting may have taken long, and another leader may have been elected in the
   * meantime. Called on any thread.
   */
  private boolean maySend() {
    lock.lock();
    try {
      return !executor.isStopped() && authority.isValid();
    } finally {
      lock.unlock();
    }
  }
}
