package org.ternhinge.model;

import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Attaches handlers to asynchronous calls. What a handler throws would otherwise be kept in a
 * future that nobody reads; here it is logged.
 */
public final class AsyncCalls {
  private static final Logger LOG = LoggerFactory.getLogger(AsyncCalls.class);

  private AsyncCalls() {}

  /**
   * Hands the result of a call on.
   *
   * @param handler gets the result, or null where the call failed without one
   */
  public static <T> void whenAnswered(CompletionStage<T> call, Consumer<? super T> handler) {
    var unused = call.whenComplete((result, error) -> handle(result, error, handler));
  }

  private static <T> void handle(T result, Throwable error, Consumer<? super T> handler) {
    if (error != null) {
      LOG.error("an asynchronous call failed", error);
    }
    logged(() -> handler.accept(result)).run();
  }

  /** The same action, with what it throws logged. */
  public static Runnable logged(Runnable action) {
    return () -> {
      try {
        action.run();
      } catch (RuntimeException e) {
        LOG.error("an asynchronous action failed", e);
        throw e;
      }
    };
  }

  /** Leaves a call to itself: nothing depends on whether and how it ends. */
  public static void ignore(CompletionStage<?> call) {
    whenAnswered(call, result -> {});
  }
}
