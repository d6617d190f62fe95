package org.ternhinge.election;

import java.util.function.Consumer;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.LeadershipLoss;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Revision;
import org.ternhinge.model.Term;

/** A leadership of this node, from a successful claim until it is lost. */
final class OwnLeadership implements Authority {
  private final Clock clock;
  private final LeadershipLease lease;
  private final Consumer<LeadershipLoss> onLost;
  private Term term;
  private Revision termRevision;
  private boolean over;

  /**
   * Creates a leadership that holds.
   *
   * @param onLost called once, under the lock
   */
  OwnLeadership(
      Term term,
      Revision termRevision,
      LeadershipLease lease,
      Clock clock,
      Consumer<LeadershipLoss> onLost) {
    this.term = term;
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
  public Revision termRevision() {
    return termRevision;
  }

  @Override
  public void raised(Term to, Revision revision) {
    term = to;
    termRevision = revision;
  }

  @Override
  public boolean valid() {
    return !over && clock.now().isBefore(lease.validUntil());
  }

  @Override
  public void lost(LeadershipLoss loss) {
    if (!over) {
      over = true;
      onLost.accept(loss);
    }
  }

  /** Until when the leadership certainly holds, unless it is lost before. */
  MonotonicTime validUntil() {
    return lease.validUntil();
  }

  /** Whether the key-value store has said that it holds the lease no more. */
  boolean leaseEnded() {
    return lease.ended();
  }

  /** Revokes the lease, and with it the leader's key. */
  void releaseLease() {
    lease.release();
  }
}
