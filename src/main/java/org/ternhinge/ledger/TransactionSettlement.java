package org.ternhinge.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.ternhinge.model.Revision;

/** Brings the ledger up to date once the key-value store holds a transaction. */
final class TransactionSettlement {
  private final Ledger ledger;
  private final AuxiliaryWrites auxiliaryWrites;
  private final Consumer<List<Attempt>> onDurable;

  /**
   * Creates a settlement of a ledger's transactions.
   *
   * @param onDurable receives after every transaction the attempts that may be started now, also
   *     where there are none
   */
  TransactionSettlement(
      Ledger ledger, AuxiliaryWrites auxiliaryWrites, Consumer<List<Attempt>> onDurable) {
    this.ledger = ledger;
    this.auxiliaryWrites = auxiliaryWrites;
    this.onDurable = onDurable;
  }

  /** A transaction was applied, which gave the keys that it set this version. */
  void applied(LedgerTransaction transaction, Revision revision) {
    List<Attempt> durable = new ArrayList<>();
    for (RecordWrite write : transaction.recordWrites()) {
      if (write instanceof RecordWrite.Segment segment) {
        segmentApplied(segment, revision);
        durable.addAll(markDurable(segment));
      } else if (write instanceof RecordWrite.SegmentRemoval removal) {
        removal.job().record().inFlight().clear(removal.index());
        removal.job().record().revision(removal.index(), Revision.NONE);
      } else if (write instanceof RecordWrite.End end) {
        endApplied(end.job());
      }
    }
    auxiliaryWrites.applied(transaction.auxiliaryWrites(), revision);
    onDurable.accept(durable);
  }

  private void segmentApplied(RecordWrite.Segment write, Revision revision) {
    Job job = write.job();
    job.record().inFlight().clear(write.index());
    job.record().revision(write.index(), revision);
    if (write.cancels()) {
      ledger.markCancelDurable(job);
    }
  }

  /** Marks the attempts that a write opened, but for those that were closed in the meantime. */
  private static List<Attempt> markDurable(RecordWrite.Segment write) {
    List<Attempt> open =
        write.opens().stream()
            .filter(attempt -> write.job().open(attempt.task().index()) == attempt)
            .toList();
    open.forEach(Attempt::markDurable);
    return open;
  }

  private void endApplied(Job job) {
    job.record().inFlight().clear(0);
    job.markFinalDurable();
    ledger.markEnded(job);
  }
}
