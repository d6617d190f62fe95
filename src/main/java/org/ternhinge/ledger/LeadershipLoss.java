package org.ternhinge.ledger;

import org.ternhinge.model.Term;

/** Why a leadership has ended. */
public sealed interface LeadershipLoss {

  /** The reason in words, for the log line of the term's end. */
  String description();

  /** The key-value store has said that it holds the leader's lease no more. */
  record LeaseExpired() implements LeadershipLoss {
    @Override
    public String description() {
      return "the lease has ended";
    }
  }

  /** A worker has seen a higher term, so another leader was elected. */
  record HigherTermSeen(Term term) implements LeadershipLoss {
    @Override
    public String description() {
      return "a worker has seen term " + term;
    }
  }

  /** The watch of the jobs' records lacks changes, which only a new recovery can read. */
  record WatchFellBehind() implements LeadershipLoss {
    @Override
    public String description() {
      return "the watch fell behind";
    }
  }

  /**
   * The key-value store refused a transaction because a key has changed.
   *
   * @param detail the keys, as the key-value store lists them
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
   * Another leader's write came before one whose answer was lost.
   *
   * @param byOtherTerm whether the term's key shows it
   */
  record WriteOvertaken(boolean byOtherTerm) implements LeadershipLoss {
    @Override
    public String description() {
      return "a write of ours was overtaken" + (byOtherTerm ? " by another term" : "");
    }
  }
}
