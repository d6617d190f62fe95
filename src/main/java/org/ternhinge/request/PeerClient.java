package org.ternhinge.request;

import java.util.Optional;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.LockedExecutor;

/**
 * Sends requests to other controllers and passes on the responses under the controller's lock. If a
 * request is not answered, its connection may be broken and is closed, so that the next request
 * opens a new one.
 */
public final class PeerClient {
  private final PeerTransport transport;
  private final LockedExecutor lockedExecutor;
  private final NodeConnectivity connectivity;

  /**
   * Creates a client.
   *
   * @param lock the controller's lock
   * @param connectivity records the responses of peers
   */
  public PeerClient(PeerTransport transport, Lock lock, NodeConnectivity connectivity) {
    this.transport = transport;
    this.lockedExecutor = new LockedExecutor(lock);
    this.connectivity = connectivity;
  }

  /**
   * Sends a request to another controller.
   *
   * @param callback receives the response, or empty if none arrived in time
   */
  void send(String node, Request request, double timeoutS, Consumer<Optional<Response>> callback) {
    transport.send(
        node,
        request,
        timeoutS,
        response -> lockedExecutor.execute(() -> handleResponse(node, response, callback)));
  }

  /** As {@link #send}, but with a busy response in place of a missing one. */
  void sendOrBusy(String node, Request request, double timeoutS, Consumer<Response> callback) {
    send(node, request, timeoutS, response -> callback.accept(response.orElseGet(Responses::busy)));
  }

  private void handleResponse(
      String node, Optional<Response> response, Consumer<Optional<Response>> callback) {
    if (response.isPresent()) {
      connectivity.recordPeerResponse();
    } else {
      transport.closeConnection(node);
    }
    callback.accept(response);
  }
}
