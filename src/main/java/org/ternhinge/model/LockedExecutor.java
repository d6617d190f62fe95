package org.ternhinge.model;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;

/**
 * Runs actions under a lock, on the calling thread. Timers and answers of asynchronous calls arrive
 * on threads of their own; wrapped by this class, they run one at a time and see the state that the
 * lock guards.
 */
public final class LockedExecutor implements Executor {
  private final Lock lock;

  /**
   * Creates an executor.
   *
   * @param lock guards the state that the actions use
   */
  public LockedExecutor(Lock lock) {
    this.lock = lock;
  }

  /** Runs an action now, as soon as the lock is free. */
  @Override
  public void execute(Runnable action) {
    lock.lock();
    try {
      action.run();
    } finally {
      lock.unlock();
    }
  }

  /** Wraps an action, for example for a timer, so that it runs under the lock. */
  public Runnable guarded(Runnable action) {
    return () -> execute(action);
  }

  /**
   * Passes the outcome of an asynchronous call to a handler, under the lock.
   *
   * @param handler gets {@link Outcome.Unknown} where the call completed exceptionally
   */
  public <T> void whenComplete(
      CompletionStage<Outcome<T>> call, Consumer<? super Outcome<T>> handler) {
    AsyncCalls.whenComplete(call, outcome -> execute(() -> handler.accept(outcome)));
  }
}
