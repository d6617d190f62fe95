package org.ternhinge.request;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.ternhinge.http.Response;
import org.ternhinge.model.Clock;

/**
 * Answers users before they drop the request, because the time-outs of the key-value store are
 * longer than users wait. Only the first answer is sent. The request itself is not aborted, and a
 * repeated request finds its result.
 */
public final class AnswerDeadline {
  /** For submissions and cancellations, in seconds; users drop the answer after 5 s. */
  public static final double WRITE_S = 4.5;

  /** For polls, in seconds; users drop the answer after 2 s. */
  public static final double POLL_S = 1.8;

  private AnswerDeadline() {}

  /**
   * Wraps a receiver of an answer.
   *
   * @param seconds when the receiver gets 503 unless another answer has come before
   * @param answer gets the first answer only
   */
  public static Consumer<Response> within(double seconds, Clock clock, Consumer<Response> answer) {
    AtomicReference<Consumer<Response>> pending = new AtomicReference<>(answer);
    Consumer<Response> first =
        response -> {
          Consumer<Response> unanswered = pending.getAndSet(null);
          if (unanswered != null) {
            unanswered.accept(response);
          }
        };
    clock.schedule(seconds, () -> first.accept(Responses.busy()));
    return first;
  }
}
