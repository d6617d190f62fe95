package org.ternhinge.ledger;

import org.ternhinge.model.Revision;
import org.ternhinge.model.Term;

/** A valid authority in term 1 that expects no reservation of tokens. */
abstract class FirstTermAuthority implements Authority {
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
  public void onTokensReserved(Term last, Revision revision) {
    throw new AssertionError("unexpected reservation of tokens");
  }
}
