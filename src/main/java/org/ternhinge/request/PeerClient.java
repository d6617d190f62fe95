package org.ternhinge.request;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.Clock;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.MonotonicTime;

/**
 * Sends requests to other controllers and passes on the responses under the controller's lock. If a
 * node has answered nothing for some time, its connection may be broken and is closed, so that the
 * next request opens a new one. A single late response does not close it: the connection is shared,
 * and the responses to all other requests under way would be lost with it.
 */
public final class PeerClient {
  /** Seconds without any response to outstanding requests after which a connection is closed. */
  static final double CLOSE_AFTER_SILENCE_S = 2;

  private final PeerTransport transport;
  private final LockedExecutor lockedExecutor;
  private final NodeConnectivity connectivity;
  private final Clock clock;

  /** When the first request after a node's latest response was sent, by node. */
  private final Map<String, MonotonicTime> silentSince = new ConcurrentHashMap<>();

  /**
   * Creates a client.
   *
   * @param lock the controller's lock
   * @param connectivity records the responses of peers
   */
  public PeerClient(
      PeerTransport transport, Lock lock, NodeConnectivity connectivity, Clock clock) {
    this.transport = transport;
    this.lockedExecutor = new LockedExecutor(lock);
    this.connectivity = connectivity;
    this.clock = clock;
  }

  /**
   * Sends a request to another controller.
   *
   * @param callback receives the response, or empty if none arrived in time
   */
  void send(String node, Request request, double timeoutS, Consumer<Optional<Response>> callback) {
    silentSince.putIfAbsent(node, clock.now());
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

  private boolean isSilent(String node) {
    MonotonicTime since = silentSince.get(node);
    return since != null && clock.now().secondsSince(since) >= CLOSE_AFTER_SILENCE_S;
  }

  private void handleResponse(
      String node, Optional<Response> response, Consumer<Optional<Response>> callback) {
    if (response.isPresent()) {
      silentSince.remove(node);
      connectivity.recordPeerResponse();
    } else if (isSilent(node)) {
      silentSince.remove(node);
      transport.closeConnection(node);
    }
    callback.accept(response);
  }
}
