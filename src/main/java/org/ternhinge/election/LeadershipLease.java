package org.ternhinge.election;

import org.ternhinge.config.Tuning;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.Clock;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.store.KeyValueStore;

/**
 * A lease of the key-value store that is kept alive until it is released or has ended. All methods
 * run under the lock.
 *
 * <p>The next renewal doesn't wait for the answer to the one before: where answers take seconds,
 * one renewal at a time would be answered too late to be followed by another. Validity counts from
 * the <em>sending</em> of the newest renewal that is known to have succeeded, so that a late answer
 * extends it by no more than what is left, and one that comes out of order never shortens it.
 */
final class LeadershipLease {
  /** Pause after a renewal that failed. */
  private static final double RETRY_S = 0.4;

  private final long id;
  private final KeyValueStore store;
  private final Clock clock;
  private final Tuning tuning;
  private final LockedExecutor locked;
  private final Runnable onEnded;
  private SteadyTime lastSent;
  private SteadyTime validUntil;

  /** Counts planned renewals; only the one planned last is sent. */
  private long planned;

  /** Counts renewals sent; only the newest one's answer plans the next. */
  private long sent;

  private boolean released;
  private boolean ended;

  /**
   * Takes over a lease that was just granted.
   *
   * @param requested when the lease was asked for
   * @param onEnded runs under the lock when the key-value store holds the lease no more, unless it
   *     was released before
   */
  LeadershipLease(
      long id,
      SteadyTime requested,
      KeyValueStore store,
      Clock clock,
      Tuning tuning,
      LockedExecutor locked,
      Runnable onEnded) {
    this.id = id;
    this.store = store;
    this.clock = clock;
    this.tuning = tuning;
    this.locked = locked;
    this.onEnded = onEnded;
    this.lastSent = requested;
    this.validUntil = validUntil(requested);
  }

  long id() {
    return id;
  }

  /** Renews the lease from now on. */
  void keepAlive() {
    planNextRenewal();
  }

  /** Until when the lease certainly holds. */
  SteadyTime validUntil() {
    return validUntil;
  }

  /** Whether the key-value store has said that it holds the lease no more. */
  boolean ended() {
    return ended;
  }

  /** Ends the lease, and with it every key that hangs on it. */
  void release() {
    released = true;
    AsyncCalls.ignore(store.revokeLease(id));
  }

  private SteadyTime validUntil(SteadyTime requestSent) {
    return requestSent.plusSeconds(tuning.leaseValidityS());
  }

  private void planNextRenewal() {
    double sinceLast = clock.now().secondsSince(lastSent);
    renewAfter(Math.max(0, tuning.renewS() - sinceLast));
  }

  private void renewAfter(double seconds) {
    long plan = ++planned;
    clock.after(seconds, locked.guarded(() -> renewIfPlanned(plan)));
  }

  private void renewIfPlanned(long plan) {
    if (plan != planned || released || ended) {
      return;
    }
    long number = ++sent;
    SteadyTime now = clock.now();
    lastSent = now;
    renewAfter(tuning.renewalOverdueS());
    locked.whenAnswered(
        store.renewLease(id, tuning.leaseValidityS()), outcome -> renewed(number, now, outcome));
  }

  private void renewed(long number, SteadyTime requestSent, Outcome<Long> outcome) {
    if (released || ended) {
      return;
    }
    boolean newest = number == sent;
    if (outcome instanceof Outcome.Applied<Long>) {
      validUntil = validUntil.max(validUntil(requestSent));
      if (newest) {
        planNextRenewal();
      }
    } else if (outcome.isBecause(Reason.NOT_FOUND)) {
      ended = true;
      onEnded.run();
    } else if (newest) {
      renewAfter(RETRY_S);
    }
  }
}
