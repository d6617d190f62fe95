package org.ternhinge.model;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;

/**
 * Runs actions under a lock, on the calling thread. Timers and answers of asynchronous calls come
 * on threads of their own; wrapped here, they see the state that the lock guards, and no two of
 * them at once.
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

  /** An action for a timer, which runs under the lock whenever it is called. */
  public Runnable guarded(Runnable action) {
    return () -> execute(action);
  }

  /**
   * Hands the result of an asynchronous call on, under the lock.
   *
   * @param handler gets the result, or null where the call failed without one
   */
  public <T> void whenAnswered(CompletionStage<T> call, Consumer<? super T> handler) {
    AsyncCalls.whenAnswered(call, result -> execute(() -> handler.accept(result)));
  }
}
