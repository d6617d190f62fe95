package org.ternhinge.request;

import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;

/** Carries requests to the other controllers. */
public interface PeerTransport {
  /**
   * Hands a request to another node.
   *
   * @param answer gets the response, or null when none came in time
   */
  void ask(String node, Request request, double timeoutS, Consumer<Response> answer);

  /** Drops the link to a node that did not answer. */
  void reset(String node);
}
