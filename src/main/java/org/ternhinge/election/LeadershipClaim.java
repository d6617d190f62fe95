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
 * One attempt of a candidate to become leader: it reads the last term, asks for a lease, and claims
 * the keys of the term and of the leader on condition that neither has changed since it was read.
 */
final class LeadershipClaim {
  private static final double MILLIS_PER_S = 1000;

  /** Hears of the result; called under the lock. */
  interface Listener {
    /**
     * The claim was applied while its lease holds.
     *
     * @param termRevision revision of the term's key
     */
    void won(Term term, Revision termRevision, LeadershipLease lease);

    /**
     * The claim was not applied, or its outcome is unknown.
     *
     * @param lostRace whether another node has claimed the leadership first
     */
    void failed(boolean lostRace);

    /** The key-value store holds a lease no more that a claim was made with. */
    void leaseEnded();
  }

  private final Candidate candidate;
  private final Revision leaderRevision;
  private final Listener listener;

  /**
   * Creates a claim that has read nothing yet.
   *
   * @param leaderRevision revision of the leader's key as it was read, {@link Revision#NONE} where
   *     it is absent
   */
  LeadershipClaim(Candidate candidate, Revision leaderRevision, Listener listener) {
    this.candidate = candidate;
    this.leaderRevision = leaderRevision;
    this.listener = listener;
  }

  /** Makes the claim. */
  void start() {
    candidate
        .locked()
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
        .locked()
        .whenComplete(
            candidate.store().grantLease(millis),
            outcome -> handleLeaseGrant(lastTerm, sent, outcome));
  }

  /** Where the answer was lost, a lease may be left that nobody uses; it ends by itself. */
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
            candidate.locked(),
            listener::leaseEnded);
    // Renewed while the claim is under way: with a slow service its answer would come when the
    // validity that counts from the request is all but over.
    lease.keepAlive();
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
            new Change.Put(Keys.TERM, TermRecord.claim(term, incarnation), 0),
            new Change.Put(Keys.LEADER, claimed.toJson(), lease.id()));
    candidate
        .locked()
        .whenComplete(
            candidate
                .store()
                .compareAndSwap(new CompareAndSwap(conditions, changes), RequestPriority.RENEWAL),
            outcome -> handleClaimAnswer(term, lease, outcome));
  }

  private void handleClaimAnswer(Term term, LeadershipLease lease, Outcome<Revision> outcome) {
    if (outcome instanceof Outcome.Applied<Revision> applied && !lease.ended()) {
      listener.won(term, applied.value(), lease);
      return;
    }
    // Also an unknown outcome ends here: with its lease revoked, a claim that is applied late fails
    // or leaves a term that nobody uses.
    lease.release();
    listener.failed(outcome.isNotApplied(Reason.CONFLICT));
  }
}
