package org.ternhinge.ledger;

import org.ternhinge.model.Term;

/** Reason for which a leadership has ended. */
public sealed interface LeadershipLoss {

  /** Returns a description for the log message at the end of the term. */
  String description();

  /** The key-value store reported that the leader's lease has expired. */
  record LeaseExpired() implements LeadershipLoss {
    @Override
    public String description() {
      return "the lease has ended";
    }
  }

  /** A worker reported a higher term, so another leader was elected. */
  record HigherTermSeen(Term term) implements LeadershipLoss {
    @Override
    public String description() {
      return "a worker has seen term " + term;
    }
  }

  /** The watch of the job records missed changes, which only a new recovery can read. */
  record WatchFellBehind() implements LeadershipLoss {
    @Override
    public String description() {
      return "the watch fell behind";
    }
  }

  /**
   * The key-value store rejected a transaction because a key was changed by someone else.
   *
   * @param detail the conflicting keys, as listed by the key-value store
   */
  record WriteConflict(String detail) implements LeadershipLoss {
    @Override
    public String description() {
      return "conflict on" + detail;
    }
  }

  /** The key-value store rejected a transaction as invalid. */
  record InvalidTransaction() implements LeadershipLoss {
    @Override
    public String description() {
      return "invalid transaction";
    }
  }

  /**
   * Another leader's write preceded a write of this leader whose response was lost.
   *
   * @param byOtherTerm whether the term's key shows another leadership
   */
  record WriteOvertaken(boolean byOtherTerm) implements LeadershipLoss {
    @Override
    public String description() {
      return "a write of ours was overtaken" + (byOtherTerm ? " by another term" : "");
    }
  }
}
