package org.ternhinge.ledger;

import org.ternhinge.model.Revision;
import org.ternhinge.model.Term;

/** The leadership that writes are made under. */
public interface Authority {
  /** Number of the leadership, raised with each one. */
  Term term();

  /** Version of the term's key; every write of a leader is conditional on it. */
  Revision termRevision();

  /** Whether the leadership certainly still holds, judged by this process alone. */
  boolean valid();

  /** The term's key was raised by this leadership itself, to fence its own late commands. */
  void raised(Term term, Revision revision);

  /** The key-value store has shown that the leadership is over. */
  void lost(LeadershipLoss loss);
}
