package org.ternhinge.ledger;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ternhinge.ledger.WriteQueue.Urgency;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;

/**
 * Chooses what goes into the next transaction. While changes are scarce, cancellations go first,
 * then what users wait for most. Ends of tasks wait a moment, so that one change carries many of
 * them.
 */
final class TransactionAssembler {
  /**
   * Seconds for which ends of tasks are batched before they are written: a fraction of the time in
   * which users notice an end, and long enough for a segment to collect those of many tasks.
   */
  private static final double BATCH_S = 0.4;

  /**
   * Seconds after which ends of tasks no longer wait behind starts, so that none waits for ever.
   */
  private static final double LATE_S = 2;

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
   * @param maxChanges changes that it may carry
   * @return nothing where nothing is to be written yet
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
        ledger.readyToWrite(now.plusSeconds(-BATCH_S), now.plusSeconds(-LATE_S));
    for (Urgency urgency : Urgency.values()) {
      // The provision requests and releases among the auxiliary writes go before starts of lower
      // priority.
      if (urgency == Urgency.HIGH_PRIORITY_STARTS && !auxiliaryWrites.addTo(draft)) {
        return;
      }
      if (!addAll(draft, ready.get(urgency))) {
        return;
      }
    }
  }

  /** Adds what jobs have to write; false when the transaction is full. */
  private boolean addAll(TransactionDraft draft, List<Job> jobs) {
    for (Job job : jobs) {
      if (!jobWrites.add(draft, job)) {
        return false;
      }
    }
    return true;
  }
}
