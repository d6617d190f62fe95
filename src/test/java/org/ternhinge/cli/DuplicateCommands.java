package org.ternhinge.cli;

import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Delivers a share of the direct messages that workers have executed and answered once more, from a
 * fraction of a second to several leases later, whatever has become of their sender. Safe for use
 * by several threads.
 */
final class DuplicateCommands {
  /** A worker that receives a message. */
  interface Receiver {
    void receive(byte[] message);
  }

  private static final double MIN_DELAY_S = 0.2;

  /** Upper bound on the delay beyond the minimum, in worker leases. */
  private static final double MAX_DELAY_LEASES = 2.5;

  private final double share;
  private final double leaseS;
  private final SplittableRandom random;
  private final ScheduledExecutorService timers;
  private final AtomicInteger delivered = new AtomicInteger();

  /**
   * Creates a network that duplicates messages.
   *
   * @param share the share of messages that are duplicated
   */
  DuplicateCommands(
      double share, double leaseS, SplittableRandom random, ScheduledExecutorService timers) {
    this.share = share;
    this.leaseS = leaseS;
    this.random = random;
    this.timers = timers;
  }

  /** Creates a network that duplicates nothing. */
  static DuplicateCommands none(ScheduledExecutorService timers) {
    return new DuplicateCommands(0, 0, new SplittableRandom(0), timers);
  }

  /** Called when a worker has executed a message; may schedule a duplicate. */
  synchronized void executed(byte[] message, Receiver receiver) {
    if (random.nextDouble() >= share) {
      return;
    }
    double delayS = MIN_DELAY_S + random.nextDouble() * MAX_DELAY_LEASES * leaseS;
    var unused =
        timers.schedule(
            () -> deliver(message, receiver), (long) (delayS * 1e3), TimeUnit.MILLISECONDS);
  }

  private void deliver(byte[] message, Receiver receiver) {
    delivered.incrementAndGet();
    receiver.receive(message);
  }

  /** Returns the number of duplicates that were delivered. */
  int delivered() {
    return delivered.get();
  }
}
