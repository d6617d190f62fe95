package org.ternhinge.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.ternhinge.model.Revision;

/** Updates the ledger after a transaction was applied. */
final class TransactionCompletion {
  private final Ledger ledger;
  private final AuxiliaryWrites auxiliaryWrites;
  private final Consumer<List<Attempt>> onDurable;

  /**
   * Creates an instance for the transactions of a ledger.
   *
   * @param onDurable receives the attempts that may be started now after every transaction, even if
   *     there are none
   */
  TransactionCompletion(
      Ledger ledger, AuxiliaryWrites auxiliaryWrites, Consumer<List<Attempt>> onDurable) {
    this.ledger = ledger;
    this.auxiliaryWrites = auxiliaryWrites;
    this.onDurable = onDurable;
  }

  /** Handles a transaction that was applied at a revision, which is now that of the keys set. */
  void onApplied(LedgerTransaction transaction, Revision revision) {
    List<Attempt> durable = new ArrayList<>();
    for (RecordWrite write : transaction.recordWrites()) {
      if (write instanceof RecordWrite.Segment segment) {
        handleSegment(segment, revision);
        durable.addAll(markDurable(segment));
      } else if (write instanceof RecordWrite.SegmentDeletion removal) {
        removal.job().record().inFlight().clear(removal.index());
        removal.job().record().setRevision(removal.index(), Revision.NONE);
      } else if (write instanceof RecordWrite.FinalRecord end) {
        handleFinalRecord(end.job());
      }
    }
    auxiliaryWrites.onApplied(transaction.auxiliaryWrites(), revision);
    onDurable.accept(durable);
  }

  private void handleSegment(RecordWrite.Segment write, Revision revision) {
    Job job = write.job();
    job.record().inFlight().clear(write.index());
    job.record().setRevision(write.index(), revision);
    if (write.makesCancellationDurable()) {
      ledger.markCancellationDurable(job);
    }
  }

  /** Marks the attempts of a write as durable, except those that have been closed meanwhile. */
  private static List<Attempt> markDurable(RecordWrite.Segment write) {
    List<Attempt> open =
        write.openedAttempts().stream()
            .filter(attempt -> write.job().openAttempt(attempt.task().index()) == attempt)
            .toList();
    open.forEach(Attempt::markDurable);
    return open;
  }

  private void handleFinalRecord(Job job) {
    job.record().inFlight().clear(0);
    job.markFinalRecordDurable();
    ledger.markEnded(job);
  }
}
