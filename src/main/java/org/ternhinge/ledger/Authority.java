package org.ternhinge.ledger;

import org.ternhinge.model.Revision;
import org.ternhinge.model.Term;

/** The leadership under which writes are made. */
public interface Authority {
  /** Term of the leadership; increases with each leadership. */
  Term term();

  /** Revision of the term's key; every write of the leader is conditional on it. */
  Revision termRevision();

  /** Whether the leadership is certain to be still held, from local state alone. */
  boolean isValid();

  /** Called after this leadership raised its own term, which fences its delayed commands. */
  void onTermRaised(Term term, Revision revision);

  /** Called when the leadership is found to have ended. */
  void onLost(LeadershipLoss loss);
}
