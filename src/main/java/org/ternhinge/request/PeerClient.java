package org.ternhinge.request;

import java.util.Optional;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.LockedExecutor;

/**
 * Sends requests to other controllers and passes on the responses under the controller's lock. If a request is not answered, its connection may be broken and is closed, so that the next request opens a new one.
 */
public final class PeerClient {
  private final PeerTransport transport;
  private final LockedExecutor locked;
  private final NodeConnectivity connectivity;

  /**
   * Creates a client.
   *
   * @param lock the controller's lock
   * @param connectivity records the responses of peers
   */
  public PeerClient(PeerTransport transport, Lock lock, NodeConnectivity connectivity) {
    this.transport = transport;
    this.locked = new LockedExecutor(lock);
    this.connectivity = connectivity;
  }

  /**
   * Sends a request to another controller.
   *
   * @param then receives the response, or empty if none arrived in time
   */
  void ask(String node, Request request, double timeoutS, Consumer<Optional<Response>> then) {
    transport.ask(
        node, request, timeoutS, response -> locked.execute(() -> answered(node, response, then)));
  }

  /** As {@link #ask}, but with a busy response in place of a missing one. */
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
