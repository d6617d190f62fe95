package org.ternhinge.term;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.Clock;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.Outcome;

/**
 * Runs the actions of one leadership under the controller's lock for as long as the leadership
 * lasts. An answer or a timer that arrives after its end is dropped, so that nothing acts on a
 * ledger that another leader may have changed since.
 */
public final class LeadershipExecutor {
  private final Clock clock;
  private final LockedExecutor executor;

  /** Guarded by the lock. */
  private boolean stopped;

  /**
   * Creates the executor of a leadership that has begun.
   *
   * @param lock the controller's lock
   */
  public LeadershipExecutor(Clock clock, Lock lock) {
    this.clock = clock;
    this.executor = new LockedExecutor(lock);
  }

  /** The leadership is over: from now on no action runs. Called under the lock. */
  public void stop() {
    stopped = true;
  }

  /** Whether the leadership is over. Called under the lock. */
  public boolean stopped() {
    return stopped;
  }

  /** Runs an action under the lock, or not at all once the leadership is over. */
  void locked(Runnable action) {
    executor.execute(() -> runUnlessStopped(action));
  }

  private void runUnlessStopped(Runnable action) {
    if (!stopped) {
      action.run();
    }
  }

  /** Runs an action under the lock after a delay, unless the leadership is over by then. */
  public void later(double seconds, Runnable action) {
    clock.schedule(seconds, () -> locked(action));
  }

  /**
   * Hands the outcome of a call on under the lock, unless the leadership is over by then.
   *
   * @param next gets the outcome, {@link Outcome.Unknown} where the call failed without one
   */
  public <T> void whenAnswered(CompletableFuture<Outcome<T>> answer, Consumer<Outcome<T>> next) {
    AsyncCalls.whenComplete(answer, outcome -> locked(() -> next.accept(outcome)));
  }
}
