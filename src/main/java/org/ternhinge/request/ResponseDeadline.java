package org.ternhinge.request;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.ternhinge.http.Response;
import org.ternhinge.model.Clock;

/**
 * Sends users a response before they abandon the request, because the time-outs of the key-value
 * store are longer than users wait. Only the first response is sent. The work on the request is not
 * aborted, and a repeated request finds its result.
 */
public final class ResponseDeadline {
  /** Deadline in seconds for submissions and cancellations; users abandon the request after 5 s. */
  public static final double WRITE_S = 4.5;

  /** Deadline in seconds for polls; users abandon the request after 2 s. */
  public static final double POLL_S = 1.8;

  private ResponseDeadline() {}

  /**
   * Wraps a response callback with a deadline.
   *
   * @param seconds delay after which the callback receives 503, unless it has received another
   *     response before
   * @param responseCallback receives only the first response
   */
  public static Consumer<Response> within(
      double seconds, Clock clock, Consumer<Response> responseCallback) {
    return within(seconds, clock, responseCallback, late -> {});
  }

  /**
   * Wraps a response callback with a deadline.
   *
   * @param lateCallback receives the responses after the first one, which the user does not get
   */
  public static Consumer<Response> within(
      double seconds,
      Clock clock,
      Consumer<Response> responseCallback,
      Consumer<Response> lateCallback) {
    AtomicReference<Consumer<Response>> pending = new AtomicReference<>(responseCallback);
    Consumer<Response> first =
        response -> {
          Consumer<Response> pendingCallback = pending.getAndSet(null);
          if (pendingCallback != null) {
            pendingCallback.accept(response);
          } else {
            lateCallback.accept(response);
          }
        };
    clock.schedule(seconds, () -> first.accept(Responses.busy()));
    return first;
  }
}
