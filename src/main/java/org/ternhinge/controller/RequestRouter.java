package org.ternhinge.controller;

import java.util.List;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.request.RequestOrigin;
import org.ternhinge.request.Responses;

/** Passes each request to the handler of the first route that serves its path. */
final class RequestRouter {
  private final List<Route> routes;

  RequestRouter(List<Route> routes) {
    this.routes = List.copyOf(routes);
  }

  /** Answers 404 if no route serves the path, and 405 if its route has another method. */
  void route(Request request, RequestOrigin origin, Consumer<Response> answer) {
    for (Route route : routes) {
      if (route.path().test(request.path())) {
        dispatch(route, request, origin, answer);
        return;
      }
    }
    answer.accept(Response.of(Responses.NOT_FOUND));
  }

  private static void dispatch(
      Route route, Request request, RequestOrigin origin, Consumer<Response> answer) {
    if (request.method().equals(route.method())) {
      route.handler().handle(request, origin, answer);
    } else {
      answer.accept(Response.of(Responses.METHOD_NOT_ALLOWED));
    }
  }
}
