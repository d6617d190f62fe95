package org.ternhinge.model;

import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Attaches handlers to asynchronous calls and logs their exceptions, which would otherwise be lost
 * in futures that are never inspected.
 */
public final class AsyncCalls {
  private static final Logger LOG = LoggerFactory.getLogger(AsyncCalls.class);

  private AsyncCalls() {}

  /**
   * Passes the outcome of a call to a handler, on the thread that completes the call.
   *
   * @param handler receives {@link Outcome.Unknown} if the call completed exceptionally
   */
  public static <T> void whenComplete(
      CompletionStage<Outcome<T>> call, Consumer<? super Outcome<T>> handler) {
    var unused = call.whenComplete((outcome, error) -> handle(outcome, error, handler));
  }

  private static <T> void handle(
      Outcome<T> outcome, Throwable error, Consumer<? super Outcome<T>> handler) {
    logFailure(error);
    Outcome<T> known = error == null ? outcome : Outcome.unknown(error.toString());
    logged(() -> handler.accept(known)).run();
  }

  /** Wraps an action so that an exception is logged before it is rethrown. */
  public static Runnable logged(Runnable action) {
    return () -> {
      try {
        action.run();
      } catch (RuntimeException e) {
        LOG.error("asynchronous action failed", e);
        throw e;
      }
    };
  }

  /**
   * Runs an action whose exception must not affect the actions after it; the exception is logged.
   */
  public static void runIsolated(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      LOG.error("asynchronous action failed", e);
    }
  }

  /** Logs the exception of a call whose result is not needed. */
  public static void logExceptions(CompletionStage<?> call) {
    var unused = call.whenComplete((result, error) -> logFailure(error));
  }

  private static void logFailure(Throwable error) {
    if (error != null) {
      LOG.error("asynchronous call failed", error);
    }
  }
}
