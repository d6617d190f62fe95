package org.ternhinge.ledger;

import org.ternhinge.model.Revision;
import org.ternhinge.model.Term;

/** The leadership under which writes are made. */
public interface Authority {
  /** Term of the leadership, its lowest fencing token; increases with each leadership. */
  Term term();

  /** The highest fencing token that is reserved for this leadership. */
  Term lastToken();

  /** Revision of the term's key; every write of the leader is conditional on it. */
  Revision termRevision();

  /** Whether the leadership is certain to be still held, from local state alone. */
  boolean isValid();

  /** Called when fencing tokens up to the given one are durably reserved for this leadership. */
  void onTokensReserved(Term last, Revision revision);

  /** Called when the leadership is found to have ended. */
  void onLost(LeadershipLoss loss);
}
