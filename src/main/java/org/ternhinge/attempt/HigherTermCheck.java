package org.ternhinge.attempt;

import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.LeadershipLoss;
import org.ternhinge.wire.Heartbeat;

/**
 * Ends the leadership when a worker reports a higher fencing token than any that is reserved for
 * this leadership, which means that another leader has been elected. Guarded by the controller's
 * lock.
 */
public final class HigherTermCheck {
  private final Authority authority;

  /** Creates a check against the tokens of an authority. */
  public HigherTermCheck(Authority authority) {
    this.authority = authority;
  }

  /**
   * Ends the leadership if the worker has seen a higher term.
   *
   * @return whether the leadership has ended, in which case the status must not be applied
   */
  public boolean endsLeadership(Heartbeat status) {
    if (status.fencingToken().compareTo(authority.lastToken()) <= 0) {
      return false;
    }
    authority.onLost(new LeadershipLoss.HigherTermSeen(status.fencingToken()));
    return true;
  }
}
