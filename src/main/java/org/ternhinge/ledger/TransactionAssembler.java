package org.ternhinge.ledger;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ternhinge.ledger.WriteQueue.Urgency;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;

/**
 * Selects the writes of the next transaction. While tokens are scarce, cancellations go first, then
 * other writes in order of urgency to users. Ends of tasks are batched for a short time, so that
 * one change includes many of them.
 */
final class TransactionAssembler {
  /**
   * Seconds for which ends of tasks are batched before they are written: short compared to the
   * delay that users notice, and long enough to batch the ends of many tasks in a segment.
   */
  private static final double BATCH_S = 0.4;

  /** Seconds after which ends of tasks get the urgency of starts, which prevents starvation. */
  private static final double OVERDUE_S = 2;

  private final Ledger ledger;
  private final Authority authority;
  private final Clock clock;
  private final AuxiliaryWrites auxiliaryWrites;
  private final RecordRepartitioner repartitioner;
  private final JobRecordWrites jobWrites;

  TransactionAssembler(
      Ledger ledger,
      Authority authority,
      Clock clock,
      AuxiliaryWrites auxiliaryWrites,
      RecordRepartitioner repartitioner) {
    this.ledger = ledger;
    this.authority = authority;
    this.clock = clock;
    this.auxiliaryWrites = auxiliaryWrites;
    this.repartitioner = repartitioner;
    this.jobWrites = new JobRecordWrites(ledger, repartitioner);
  }

  /**
   * Builds the next transaction.
   *
   * @param maxChanges maximum number of changes in the transaction
   * @return the transaction, or empty if nothing may be written yet
   */
  Optional<LedgerTransaction> next(int maxChanges) {
    TransactionDraft draft = new TransactionDraft(authority.termRevision(), maxChanges);
    repartitioner.addTo(draft);
    if (draft.isEmpty()) {
      addByUrgency(draft);
    }
    return draft.build();
  }

  private void addByUrgency(TransactionDraft draft) {
    MonotonicTime now = clock.now();
    Map<Urgency, List<Job>> ready =
        ledger.readyToWrite(now.plusSeconds(-BATCH_S), now.plusSeconds(-OVERDUE_S));
    for (Urgency urgency : Urgency.values()) {
      // Auxiliary writes include provision requests and machine releases, which precede starts of
      // less than production priority.
      if (urgency == Urgency.HIGH_PRIORITY_STARTS && !auxiliaryWrites.addTo(draft)) {
        return;
      }
      if (!addAll(draft, ready.get(urgency))) {
        return;
      }
    }
  }

  /** Adds the pending writes of jobs; returns false if the transaction is full. */
  private boolean addAll(TransactionDraft draft, List<Job> jobs) {
    for (Job job : jobs) {
      if (!jobWrites.add(draft, job)) {
        return false;
      }
    }
    return true;
  }
}
