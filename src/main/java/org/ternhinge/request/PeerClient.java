package org.ternhinge.request;

import java.util.Optional;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.LockedExecutor;

/**
 * Asks other controllers. Answers are handed on under the controller's lock. A connection that
 * leaves a request unanswered may be broken and is closed, so that the next request opens a new
 * one.
 */
public final class PeerClient {
  private final PeerTransport transport;
  private final LockedExecutor locked;
  private final NodeConnectivity connectivity;

  /**
   * Creates a client.
   *
   * @param lock the controller's lock
   * @param connectivity records that peers have answered
   */
  public PeerClient(PeerTransport transport, Lock lock, NodeConnectivity connectivity) {
    this.transport = transport;
    this.locked = new LockedExecutor(lock);
    this.connectivity = connectivity;
  }

  /**
   * Sends a request to another controller.
   *
   * @param then gets the answer, or nothing where none came in time
   */
  void ask(String node, Request request, double timeoutS, Consumer<Optional<Response>> then) {
    transport.ask(
        node, request, timeoutS, response -> locked.execute(() -> answered(node, response, then)));
  }

  /** As {@link #ask}; a missing answer counts as a busy one. */
  void askOrBusy(String node, Request request, double timeoutS, Consumer<Response> then) {
    ask(node, request, timeoutS, response -> then.accept(response.orElseGet(Responses::busy)));
  }

  private void answered(
      String node, Optional<Response> response, Consumer<Optional<Response>> then) {
    if (response.isPresent()) {
      connectivity.peerAnswered();
    } else {
      transport.reset(node);
    }
    then.accept(response);
  }
}
