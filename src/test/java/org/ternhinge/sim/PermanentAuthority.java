package org.ternhinge.sim;

import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.LeadershipLoss;
import org.ternhinge.model.Revision;
import org.ternhinge.model.Term;

/** A leadership with term 1 that is always valid; losing it fails the test. */
public record PermanentAuthority(Revision termRevision) implements Authority {
  @Override
  public Term term() {
    return new Term(1);
  }

  @Override
  public Term lastToken() {
    return term();
  }

  @Override
  public boolean isValid() {
    return true;
  }

  @Override
  public void onTokensReserved(Term last, Revision revision) {}

  @Override
  public void onLost(LeadershipLoss loss) {
    throw new AssertionError(loss);
  }
}
