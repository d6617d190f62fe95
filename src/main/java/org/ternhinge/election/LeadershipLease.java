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
 * A lease of the key-value store that is renewed until it is released or has expired. All methods run under the lock.
 *
 * <p>A renewal does not wait for the response to the previous one: when responses take seconds, the response to a single outstanding renewal would come too late to send another before the lease expires. Validity counts from the time at which the newest successful renewal was <em>sent</em>. A late response therefore extends it only by the remaining time, and a response that arrives out of order never shortens it.
 */
final class LeadershipLease {
  /** Delay in seconds before the next renewal after one has failed. */
  private static final double RETRY_S = 0.4;

  private final long id;
  private final KeyValueStore store;
  private final Clock clock;
  private final Tuning tuning;
  private final LockedExecutor locked;
  private final Runnable onEnded;
  private SteadyTime lastSent;
  private SteadyTime validUntil;

  /** Number of renewals scheduled so far; only the one scheduled last is sent. */
  private long planned;

  /** Number of renewals sent so far; only the response to the newest one schedules the next. */
  private long sent;

  private boolean released;
  private boolean ended;

  /**
   * Creates the handle of a lease that was just granted.
   *
   * @param requested when the request for the lease was sent
   * @param onEnded runs under the lock when the key-value store reports that the lease no longer exists, unless it was released before
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

  /** Starts to renew the lease at regular intervals. */
  void keepAlive() {
    planNextRenewal();
  }

  /** The time until which the lease is guaranteed to be in force. */
  SteadyTime validUntil() {
    return validUntil;
  }

  /** Whether the key-value store has reported that the lease no longer exists. */
  boolean ended() {
    return ended;
  }

  /** Revokes the lease, which removes every key that is attached to it, and stops its renewals. */
  void release() {
    released = true;
    AsyncCalls.ignore(store.revokeLease(id));
  }

  private SteadyTime validUntil(SteadyTime requestSent) {
    return requestSent.plusSeconds(tuning.validityS());
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
        store.renewLease(id, tuning.validityS()), outcome -> renewed(number, now, outcome));
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
