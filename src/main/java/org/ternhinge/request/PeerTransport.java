package org.ternhinge.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;

/** Transport of requests to the other controllers. */
public interface PeerTransport {
  /**
   * Sends a request to another node.
   *
   * @param node the other controller's name
   * @param timeoutS time-out of the response in seconds
   * @param responseCallback receives the response, or empty if none arrived in time; called once,
   *     on any thread
   */
  void send(
      String node, Request request, double timeoutS, Consumer<Optional<Response>> responseCallback);

  /** Closes the connection to a node that did not respond. */
  void closeConnection(String node);
}
