package org.ternhinge.election;

import java.util.function.Consumer;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.LeadershipLoss;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Revision;
import org.ternhinge.model.Term;

/** A leadership held by this node, from a successful claim until it is lost. */
final class LocalLeadership implements Authority {
  private final Clock clock;
  private final LeadershipLease lease;
  private final Consumer<LeadershipLoss> onLost;
  private final Term term;
  private Term lastToken;
  private Revision termRevision;
  private boolean ended;

  /**
   * Creates a leadership that is in force.
   *
   * @param onLost called once, under the lock
   */
  LocalLeadership(
      Term term,
      Revision termRevision,
      LeadershipLease lease,
      Clock clock,
      Consumer<LeadershipLoss> onLost) {
    this.term = term;
    this.lastToken = term;
    this.termRevision = termRevision;
    this.lease = lease;
    this.clock = clock;
    this.onLost = onLost;
  }

  @Override
  public Term term() {
    return term;
  }

  @Override
  public Term lastToken() {
    return lastToken;
  }

  @Override
  public Revision termRevision() {
    return termRevision;
  }

  @Override
  public void onTokensReserved(Term last, Revision revision) {
    lastToken = last;
    termRevision = revision;
  }

  @Override
  public boolean isValid() {
    return !ended && clock.now().isBefore(lease.validUntil());
  }

  @Override
  public void onLost(LeadershipLoss loss) {
    if (!ended) {
      ended = true;
      onLost.accept(loss);
    }
  }

  /**
   * The time until which the leadership is guaranteed to be in force, unless it is lost earlier.
   */
  MonotonicTime validUntil() {
    return lease.validUntil();
  }

  /** Whether the key-value store has reported that the lease no longer exists. */
  boolean leaseExpired() {
    return lease.expired();
  }

  /** Revokes the lease, which removes the leader's key. */
  void releaseLease() {
    lease.release();
  }
}
