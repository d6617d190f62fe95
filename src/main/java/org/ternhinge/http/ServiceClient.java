package org.ternhinge.http;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;

/**
 * Client of a rate-limited service: takes a token, sends the request, and maps the status of the
 * response to an outcome. Its futures never complete exceptionally.
 */
public final class ServiceClient {
  private static final Logger LOG = LoggerFactory.getLogger(ServiceClient.class);
  private static final int OK = 200;

  /** Maps a response with any status but 200 to an outcome. */
  public interface ErrorMapper {
    /** Returns the outcome of a request with the given response. */
    <T> Outcome<T> outcomeOf(ClientResponse response);
  }

  private final PooledHttpClient http;
  private final Endpoint endpoint;
  private final ErrorMapper errors;

  /** Creates a client of the service at an endpoint. */
  public ServiceClient(PooledHttpClient http, Endpoint endpoint, ErrorMapper errors) {
    this.http = http;
    this.endpoint = endpoint;
    this.errors = errors;
  }

  /**
   * Sends a request if a token is available.
   *
   * @param tryTakeToken takes a token for the request; returns false if none is left
   * @param timeouts time limits of the call
   * @param decoder decodes the body of a response with status 200
   */
  public <T> CompletableFuture<Outcome<T>> send(
      BooleanSupplier tryTakeToken,
      Request request,
      CallTimeouts timeouts,
      Function<byte[], Outcome<T>> decoder) {
    if (!tryTakeToken.getAsBoolean()) {
      return CompletableFuture.completedFuture(rateLimited());
    }
    return http.call(endpoint, request, timeouts)
        .thenApply(outcome -> outcome.flatMap(response -> decode(request, response, decoder)));
  }

  /** The outcome of a call that was not sent because no token was left. */
  public static <T> Outcome<T> rateLimited() {
    return Outcome.notApplied(Reason.RATE_LIMITED, "no tokens");
  }

  /** The outcome of a call whose response has a status that the protocol does not define. */
  public static <T> Outcome<T> unexpectedStatus(ClientResponse response) {
    return Outcome.unknown("status " + response.status());
  }

  private <T> Outcome<T> decode(
      Request request, ClientResponse response, Function<byte[], Outcome<T>> decoder) {
    try {
      return response.status() == OK ? decoder.apply(response.body()) : errors.outcomeOf(response);
    } catch (RuntimeException e) {
      LOG.error(
          "exception while decoding the response to {} {}", request.method(), request.path(), e);
      return Outcome.unknown(e.toString());
    }
  }
}
