package org.ternhinge.term;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.Clock;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.Outcome;

/**
 * Runs the actions of one leadership under the controller's lock until the leadership ends.
 * Responses and timers that arrive later are dropped, since another leader may have changed the
 * state that the ledger represents.
 */
public final class LeadershipExecutor {
  private final Clock clock;
  private final LockedExecutor lockedExecutor;

  /** Guarded by the lock. */
  private boolean stopped;

  /**
   * Creates the executor of a leadership that has just begun.
   *
   * @param lock the controller's lock
   */
  public LeadershipExecutor(Clock clock, Lock lock) {
    this.clock = clock;
    this.lockedExecutor = new LockedExecutor(lock);
  }

  /** Marks the leadership as ended; no action runs afterwards. Called under the lock. */
  public void stop() {
    stopped = true;
  }

  /** Whether the leadership has ended. Called under the lock. */
  public boolean isStopped() {
    return stopped;
  }

  /** Runs an action under the lock, unless the leadership has ended. */
  void execute(Runnable action) {
    lockedExecutor.execute(() -> runUnlessStopped(action));
  }

  private void runUnlessStopped(Runnable action) {
    if (!stopped) {
      action.run();
    }
  }

  /** Runs an action under the lock after a delay, unless the leadership has ended by then. */
  public void schedule(double seconds, Runnable action) {
    clock.schedule(seconds, () -> execute(action));
  }

  /**
   * Passes the outcome of a call to a consumer under the lock, unless the leadership has ended by
   * then.
   *
   * @param consumer receives the outcome, {@link Outcome.Unknown} if the call completed
   *     exceptionally
   */
  public <T> void whenAnswered(
      CompletableFuture<Outcome<T>> answer, Consumer<Outcome<T>> consumer) {
    AsyncCalls.whenComplete(answer, outcome -> execute(() -> consumer.accept(outcome)));
  }
}
