package org.ternhinge.request;

import java.util.Optional;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;

/**
 * Asks other controllers. Answers are handed on under the controller's lock. A link that leaves a
 * request unanswered may be cut and is dropped, so that the next request opens a new one.
 */
public final class PeerClient {
  private final PeerTransport peers;
  private final Lock lock;
  private final NodeConnectivity connectivity;

  public PeerClient(PeerTransport peers, Lock lock, NodeConnectivity connectivity) {
    this.peers = peers;
    this.lock = lock;
    this.connectivity = connectivity;
  }

  /**
   * Hands a request to another controller.
   *
   * @param then gets the live answer, or nothing where none came in time
   */
  void ask(String node, Request request, double timeoutS, Consumer<Optional<Response>> then) {
    peers.ask(node, request, timeoutS, response -> answered(node, response, then));
  }

  /** As {@link #ask}; a missing answer counts as one that the node is busy. */
  void askOrBusy(String node, Request request, double timeoutS, Consumer<Response> then) {
    ask(node, request, timeoutS, response -> then.accept(response.orElse(Responses.busy())));
  }

  private void answered(String node, Response response, Consumer<Optional<Response>> then) {
    lock.lock();
    try {
      if (response == null) {
        peers.reset(node);
      } else {
        connectivity.peerAnswered();
      }
      then.accept(Optional.ofNullable(response));
    } finally {
      lock.unlock();
    }
  }
}
