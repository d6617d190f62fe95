package org.ternhinge.request;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.ternhinge.http.Response;
import org.ternhinge.model.Clock;

/**
 * Gives users an answer before they drop the request: a slow key-value store is waited for longer
 * than users wait. Only the first answer goes out. What was begun goes on all the same, and a
 * repeat of the request finds its result.
 */
public final class AnswerDeadline {
  /** For submissions and cancellations, in seconds; users drop the answer after 5 s. */
  public static final double WRITE_S = 4.5;

  /** For polls, in seconds; users drop the answer after 2 s. */
  public static final double POLL_S = 1.8;

  private AnswerDeadline() {}

  /** An answer that is 503 where no other one has come within so many seconds. */
  public static Consumer<Response> within(double seconds, Clock clock, Consumer<Response> answer) {
    AtomicReference<Consumer<Response>> pending = new AtomicReference<>(answer);
    Consumer<Response> first =
        response -> {
          Consumer<Response> to = pending.getAndSet(null);
          if (to != null) {
            to.accept(response);
          }
        };
    clock.after(seconds, () -> first.accept(Responses.busy()));
    return first;
  }
}
