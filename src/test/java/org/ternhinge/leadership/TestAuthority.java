package org.ternhinge.leadership;

import java.util.Optional;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.LeadershipLoss;
import org.ternhinge.model.Revision;
import org.ternhinge.model.Term;

/** A valid authority. Losing the leadership fails the test unless it is expected. */
public final class TestAuthority implements Authority {
  private static final Term TERM = new Term(1);

  private Term lastToken = TERM;
  private Revision revision;
  private boolean lossExpected;
  private LeadershipLoss lossReason;

  TestAuthority(Revision revision) {
    this.revision = revision;
  }

  @Override
  public Term term() {
    return TERM;
  }

  @Override
  public Term lastToken() {
    return lastToken;
  }

  @Override
  public Revision termRevision() {
    return revision;
  }

  @Override
  public boolean isValid() {
    return lossReason == null;
  }

  @Override
  public void onTokensReserved(Term last, Revision at) {
    lastToken = last;
    revision = at;
  }

  @Override
  public void onLost(LeadershipLoss loss) {
    if (!lossExpected) {
      throw new AssertionError(loss.toString());
    }
    lossReason = loss;
  }

  /** Records the loss of the leadership from now on instead of failing the test. */
  public void expectLoss() {
    lossExpected = true;
  }

  /** Returns the reason for the loss of the leadership; empty while it is valid. */
  public Optional<LeadershipLoss> lossReason() {
    return Optional.ofNullable(lossReason);
  }
}
