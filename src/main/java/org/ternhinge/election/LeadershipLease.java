package org.ternhinge.election;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.config.Tuning;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.Clock;
import org.ternhinge.model.EventLine;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.store.KeyValueStore;

/**
 * A lease of the key-value store that is renewed until it is released or has expired. All methods
 * run under the lock.
 *
 * <p>A renewal does not wait for the response to the previous one: when responses take seconds, the
 * response to a single outstanding renewal would come too late to send another before the lease
 * expires. Validity counts from the time at which the newest successful renewal was <em>sent</em>.
 * A late response therefore extends it only by the remaining time, and a response that arrives out
 * of order never shortens it.
 */
final class LeadershipLease {
  private static final Logger LOG = LoggerFactory.getLogger(LeadershipLease.class);

  /** Delay in seconds before the next renewal after one has failed. */
  private static final double RETRY_S = 0.4;

  private final long id;
  private final KeyValueStore store;
  private final Clock clock;
  private final Tuning tuning;
  private final LockedExecutor lockedExecutor;
  private final Runnable onExpired;
  private MonotonicTime lastRenewalSentAt;
  private MonotonicTime validUntil;

  /** Number of renewals scheduled so far; only the one scheduled last is sent. */
  private long scheduledRenewals;

  /** Number of renewals sent so far; only the response to the newest one schedules the next. */
  private long sentRenewals;

  private boolean released;
  private boolean expired;

  /**
   * Creates the handle of a lease that was just granted.
   *
   * @param requested when the request for the lease was sent
   * @param onExpired runs under the lock when the key-value store reports that the lease no longer
   *     exists, unless it was released before
   */
  LeadershipLease(
      long id,
      MonotonicTime requested,
      KeyValueStore store,
      Clock clock,
      Tuning tuning,
      LockedExecutor lockedExecutor,
      Runnable onExpired) {
    this.id = id;
    this.store = store;
    this.clock = clock;
    this.tuning = tuning;
    this.lockedExecutor = lockedExecutor;
    this.onExpired = onExpired;
    this.lastRenewalSentAt = requested;
    this.validUntil = validityEnd(requested);
  }

  long id() {
    return id;
  }

  /** Starts to renew the lease at regular intervals. */
  void startRenewals() {
    scheduleNextRenewal();
  }

  /** The time until which the lease is guaranteed to be in force. */
  MonotonicTime validUntil() {
    return validUntil;
  }

  /** Whether the key-value store has reported that the lease no longer exists. */
  boolean expired() {
    return expired;
  }

  /** Revokes the lease, which removes every key that is attached to it, and stops its renewals. */
  void release() {
    released = true;
    AsyncCalls.logExceptions(store.revokeLease(id));
  }

  private MonotonicTime validityEnd(MonotonicTime requestSent) {
    return requestSent.plusSeconds(tuning.leaseValidityS());
  }

  private void scheduleNextRenewal() {
    double sinceLast = clock.now().secondsSince(lastRenewalSentAt);
    renewAfter(Math.max(0, tuning.renewS() - sinceLast));
  }

  private void renewAfter(double seconds) {
    long scheduleNumber = ++scheduledRenewals;
    clock.schedule(seconds, lockedExecutor.guarded(() -> renewIfScheduledLast(scheduleNumber)));
  }

  private void renewIfScheduledLast(long scheduleNumber) {
    if (scheduleNumber != scheduledRenewals || released || expired) {
      return;
    }
    long renewalNumber = ++sentRenewals;
    MonotonicTime now = clock.now();
    lastRenewalSentAt = now;
    renewAfter(tuning.renewalOverdueS());
    lockedExecutor.whenComplete(
        store.renewLease(id, tuning.leaseValidityS()),
        outcome -> handleRenewalResponse(renewalNumber, now, outcome));
  }

  /** Logs a renewal that failed or was answered after the next one had been sent. */
  private void logIfLate(MonotonicTime requestSent, Outcome<Long> outcome) {
    MonotonicTime now = clock.now();
    double tookS = now.secondsSince(requestSent);
    boolean applied = outcome instanceof Outcome.Applied;
    if (!applied || tookS > tuning.renewalOverdueS()) {
      LOG.info(
          "{}",
          EventLine.of(Election.LEADERSHIP_EVENT, applied ? "renewed-late" : "renewal-failed")
              .with("lease", id)
              .withSeconds("took_s", tookS)
              .withSeconds("valid_s", validUntil.secondsSince(now))
              .with("outcome", applied ? "applied" : outcome));
    }
  }

  private void handleRenewalResponse(
      long renewalNumber, MonotonicTime requestSent, Outcome<Long> outcome) {
    if (released || expired) {
      return;
    }
    boolean newest = renewalNumber == sentRenewals;
    logIfLate(requestSent, outcome);
    if (outcome instanceof Outcome.Applied<Long>) {
      validUntil = validUntil.max(validityEnd(requestSent));
      if (newest) {
        scheduleNextRenewal();
      }
    } else if (outcome.isNotApplied(Reason.NOT_FOUND)) {
      expired = true;
      onExpired.run();
    } else if (newest) {
      renewAfter(RETRY_S);
    }
  }
}
