package org.ternhinge.model;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;

/**
 * Executor that runs actions on the calling thread while holding a lock. It serializes timers and
 * completions of asynchronous calls, which run on different threads, and gives them a consistent
 * view of the guarded state.
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

  /** Acquires the lock and runs an action. */
  @Override
  public void execute(Runnable action) {
    lock.lock();
    try {
      action.run();
    } finally {
      lock.unlock();
    }
  }

  /** Wraps an action, such as that of a timer, so that it runs under the lock. */
  public Runnable guarded(Runnable action) {
    return () -> execute(action);
  }

  /**
   * Passes the outcome of an asynchronous call to a handler, under the lock.
   *
   * @param handler receives {@link Outcome.Unknown} if the call completed exceptionally
   */
  public <T> void whenComplete(
      CompletionStage<Outcome<T>> call, Consumer<? super Outcome<T>> handler) {
    AsyncCalls.whenComplete(call, outcome -> execute(() -> handler.accept(outcome)));
  }
}
