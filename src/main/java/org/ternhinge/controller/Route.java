package org.ternhinge.controller;

import java.util.function.Consumer;
import java.util.function.Predicate;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.request.RequestOrigin;

/**
 * One entry of the route table.
 *
 * @param method the only HTTP method that is allowed
 * @param path which paths the route serves
 * @param handler answers the requests
 */
record Route(String method, Predicate<String> path, Handler handler) {
  /** Answers requests under the controller's lock. */
  @FunctionalInterface
  interface Handler {
    /** Answers now or later, exactly once. */
    void handle(Request request, RequestOrigin origin, Consumer<Response> answer);
  }
}
