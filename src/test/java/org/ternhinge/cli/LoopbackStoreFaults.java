package org.ternhinge.cli;

import com.sun.net.httpserver.HttpExchange;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ternhinge.sim.InMemoryStore;
import org.ternhinge.store.CompareAndSwap;

/**
 * Faults of the key-value store on loopback: it refuses one controller or all, applies transactions
 * late, or withholds its answers. Safe for use by several threads.
 */
final class LoopbackStoreFaults {
  /** Longer than any controller waits for an answer. */
  private static final double WITHHELD_S = 8;

  private static final double MAX_LATENESS_S = 6;

  private final InMemoryStore store;
  private final ScheduledExecutorService timers;

  /** Held by all accesses to the store. */
  private final Object storeLock;

  private final SplittableRandom random = new SplittableRandom(1);
  private final Map<Integer, Long> refusedUntil = new HashMap<>();
  private long allRefusedUntil = System.nanoTime();
  private long withheldUntil = System.nanoTime();
  private boolean applyLate;
  private double withheldShare;

  LoopbackStoreFaults(InMemoryStore store, ScheduledExecutorService timers, Object storeLock) {
    this.store = store;
    this.timers = timers;
    this.storeLock = storeLock;
  }

  private static long fromNow(double seconds) {
    return System.nanoTime() + (long) (seconds * 1e9);
  }

  private void after(double seconds, Runnable action) {
    var unused = timers.schedule(action, (long) (seconds * 1e3), TimeUnit.MILLISECONDS);
  }

  /** Refuses one controller for a while; its leases may expire meanwhile. */
  synchronized void refuse(int controller, double seconds) {
    refusedUntil.put(controller, fromNow(seconds));
  }

  /** Refuses all controllers for a while; then all leases have their full time again. */
  void refuseAll(double seconds) {
    synchronized (this) {
      allRefusedUntil = fromNow(seconds);
    }
    synchronized (storeLock) {
      store.extendLeases(seconds);
    }
    after(
        seconds,
        () -> {
          synchronized (storeLock) {
            store.renewAllLeases();
          }
        });
  }

  /**
   * Withholds the answers to a share of transactions for a while.
   *
   * @param late whether these transactions are applied late instead of at once
   */
  synchronized void withholdAnswers(double share, boolean late, double seconds) {
    withheldShare = share;
    applyLate = late;
    withheldUntil = fromNow(seconds);
  }

  /** Whether the store refuses a controller's requests now. */
  synchronized boolean refuses(int controller) {
    long now = System.nanoTime();
    return now - allRefusedUntil < 0 || now - refusedUntil.getOrDefault(controller, now) < 0;
  }

  /** Returns true if a transaction gets no answer; it is then applied now or late. */
  boolean withholdsAnswer(HttpExchange exchange, CompareAndSwap swap) {
    double latenessS;
    synchronized (this) {
      if (System.nanoTime() - withheldUntil >= 0 || random.nextDouble() >= withheldShare) {
        return false;
      }
      latenessS = applyLate ? 1 + random.nextDouble() * (MAX_LATENESS_S - 1) : 0;
    }
    after(
        latenessS,
        () -> {
          synchronized (storeLock) {
            var unused = store.compareAndSwap(swap);
          }
        });
    after(WITHHELD_S, exchange::close);
    return true;
  }
}
