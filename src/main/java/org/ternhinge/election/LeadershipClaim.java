package org.ternhinge.election;

import java.util.List;
import org.ternhinge.ledger.Keys;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.model.Term;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.KeyCondition;
import org.ternhinge.store.KeyValueStore;

/**
 * One attempt of a candidate to become the leader. It reads the last term, requests a lease, and
 * writes the keys of the term and of the leader on condition that neither has changed since it was
 * read.
 */
final class LeadershipClaim {
  private static final double MILLIS_PER_S = 1000;

  /** Receives the result; called under the lock. */
  interface Listener {
    /**
     * The claim was applied and its lease is in force.
     *
     * @param termRevision revision of the term's key after the claim
     */
    void won(Term term, Revision termRevision, LeadershipLease lease);

    /**
     * The claim was not applied, or its outcome is unknown.
     *
     * @param lostRace whether another node claimed the leadership first
     */
    void failed(boolean lostRace);

    /** The key-value store reported that the lease of an earlier claim no longer exists. */
    void leaseExpired();
  }

  private final Candidate candidate;
  private final Revision leaderRevision;
  private final Listener listener;

  /**
   * Creates a claim that is not started.
   *
   * @param leaderRevision revision of the leader's key when it was read, {@link Revision#NONE} if
   *     the key was absent
   */
  LeadershipClaim(Candidate candidate, Revision leaderRevision, Listener listener) {
    this.candidate = candidate;
    this.leaderRevision = leaderRevision;
    this.listener = listener;
  }

  /** Starts the claim by reading the last term. */
  void start() {
    candidate
        .lockedExecutor()
        .whenComplete(
            candidate.store().get(Keys.TERM, RequestPriority.RENEWAL), this::handleTermRead);
  }

  private void handleTermRead(Outcome<KeyValueStore.ReadResult> outcome) {
    if (outcome instanceof Outcome.Applied<KeyValueStore.ReadResult> read) {
      requestLease(TermRecord.of(read.value().entry()));
    } else {
      listener.failed(false);
    }
  }

  private void requestLease(TermRecord lastTerm) {
    MonotonicTime sent = candidate.clock().now();
    long millis = (long) (candidate.tuning().leadershipS() * MILLIS_PER_S);
    candidate
        .lockedExecutor()
        .whenComplete(
            candidate.store().grantLease(millis),
            outcome -> handleLeaseGrant(lastTerm, sent, outcome));
  }

  /**
   * If the response was lost, the store may hold an unused lease, which expires since it is not
   * renewed.
   */
  private void handleLeaseGrant(TermRecord lastTerm, MonotonicTime sent, Outcome<Long> outcome) {
    if (!(outcome instanceof Outcome.Applied<Long> granted)) {
      listener.failed(false);
      return;
    }
    LeadershipLease lease =
        new LeadershipLease(
            granted.value(),
            sent,
            candidate.store(),
            candidate.clock(),
            candidate.tuning(),
            candidate.lockedExecutor(),
            listener::leaseExpired);
    // Renew while the claim is in progress: with a slow store, the response to the claim would
    // arrive when the validity, which counts from the lease request, has almost ended.
    lease.startRenewals();
    claim(lastTerm, lease);
  }

  private void claim(TermRecord lastTerm, LeadershipLease lease) {
    List<KeyCondition> conditions =
        List.of(
            new KeyCondition(Keys.TERM, lastTerm.revision()),
            new KeyCondition(Keys.LEADER, leaderRevision));
    Term term = lastTerm.term().next();
    String incarnation = candidate.incarnation();
    LeaderRecord claimed = new LeaderRecord(candidate.node(), incarnation, term, true);
    List<Change> changes =
        List.of(
            new Change.Put(Keys.TERM, TermRecord.claimValue(term, incarnation), 0),
            new Change.Put(Keys.LEADER, claimed.toJson(), lease.id()));
    candidate
        .lockedExecutor()
        .whenComplete(
            candidate
                .store()
                .compareAndSwap(new CompareAndSwap(conditions, changes), RequestPriority.RENEWAL),
            outcome -> handleClaimAnswer(term, lease, outcome));
  }

  private void handleClaimAnswer(Term term, LeadershipLease lease, Outcome<Revision> outcome) {
    if (outcome instanceof Outcome.Applied<Revision> applied && !lease.expired()) {
      listener.won(term, applied.value(), lease);
      return;
    }
    // An unknown outcome counts as a failure too: once the lease is revoked, a claim that is
    // applied late either fails or writes a term that stays unused.
    lease.release();
    listener.failed(outcome.isNotApplied(Reason.CONFLICT));
  }
}
