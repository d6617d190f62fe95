package org.ternhinge.ledger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Revision;
import org.ternhinge.wire.Json;

/** Adds a job's pending writes to a transaction: its changed segments, or its final record. */
final class JobRecordWrites {
  /** Changes of every end besides later segments: the final record and the first segment. */
  private static final int FINAL_RECORD_CHANGES = 2;

  /** Result of adding a segment to a transaction. */
  private enum AddResult {
    ADDED,
    /** The segment exceeds the limit on value sizes and stays pending. */
    TOO_LARGE,
    TRANSACTION_FULL
  }

  private final Ledger ledger;
  private final RecordRepartitioner repartitioner;

  JobRecordWrites(Ledger ledger, RecordRepartitioner repartitioner) {
    this.ledger = ledger;
    this.repartitioner = repartitioner;
  }

  /**
   * Adds the pending writes of a job.
   *
   * @return false if the transaction is full
   */
  boolean add(TransactionDraft draft, Job job) {
    return job.isFinished() ? addFinalRecord(draft, job) : addChangedSegments(draft, job);
  }

  private boolean addChangedSegments(TransactionDraft draft, Job job) {
    if (job.record().isRepartitionRequested()) {
      repartitioner.request(job);
    }
    BitSet dirty = job.record().dirty();
    boolean complete = true;
    for (int s = dirty.nextSetBit(0); s >= 0; s = dirty.nextSetBit(s + 1)) {
      AddResult result = draft.isFull() ? AddResult.TRANSACTION_FULL : addSegment(draft, job, s);
      if (result == AddResult.TRANSACTION_FULL) {
        return false;
      }
      complete &= result == AddResult.ADDED;
    }
    if (complete) {
      ledger.removeFromWriteQueue(job);
    }
    return true;
  }

  private AddResult addSegment(TransactionDraft draft, Job job, int segment) {
    if (segment > 0 && job.record().merged().get(segment)) {
      removeMerged(draft, job, segment);
      return AddResult.ADDED;
    }
    ObjectNode value = RecordCodec.encode(job, segment);
    int bytes = Json.bytes(value).length;
    if (bytes > ledger.valueBytes()) {
      // Only segments written under a larger limit reach this, since admission bounds the size of
      // all others. The segment can be written once enough of its attempts have ended or the
      // record is repartitioned. Until then the stored segment lists attempts that have ended,
      // which is safe.
      repartitioner.request(job);
      return AddResult.TOO_LARGE;
    }
    String key = Keys.segment(job.spec().id(), segment);
    if (!draft.hasBytesFor(key, bytes)) {
      return AddResult.TRANSACTION_FULL;
    }
    draft.putSegment(key, value, bytes, job.record().revision(segment));
    markInFlight(draft, RecordWrite.Segment.of(job, segment), segment);
    return AddResult.ADDED;
  }

  private void removeMerged(TransactionDraft draft, Job job, int segment) {
    if (job.record().revision(segment).equals(Revision.NONE)) {
      // The segment was never stored under its own key.
      job.record().dirty().clear(segment);
      return;
    }
    delete(draft, job, segment);
  }

  private static void delete(TransactionDraft draft, Job job, int segment) {
    draft.delete(Keys.segment(job.spec().id(), segment), job.record().revision(segment));
    markInFlight(draft, new RecordWrite.SegmentDeletion(job, segment), segment);
  }

  private static void markInFlight(TransactionDraft draft, RecordWrite write, int segment) {
    draft.add(write);
    write.job().record().dirty().clear(segment);
    write.job().record().inFlight().set(segment);
  }

  private boolean addFinalRecord(TransactionDraft draft, Job job) {
    BitSet stored = job.record().storedLaterSegments();
    if (stored.cardinality() + FINAL_RECORD_CHANGES > draft.freeChanges()) {
      return addPartialEnd(draft, job, stored);
    }
    JobId id = job.spec().id();
    draft.put(Keys.finalRecord(id), RecordCodec.encodeFinalRecord(job), Revision.NONE);
    draft.delete(Keys.job(id), job.record().revision(0));
    for (int s = stored.nextSetBit(0); s >= 0; s = stored.nextSetBit(s + 1)) {
      draft.delete(Keys.segment(id, s), job.record().revision(s));
    }
    draft.add(new RecordWrite.FinalRecord(job));
    job.record().inFlight().set(0, job.record().segments());
    ledger.removeFromWriteQueue(job);
    return true;
  }

  /**
   * Writes part of an end that needs several transactions: each deletes as many segments as fit,
   * and the last one writes the final record. The first segment must list the others as merged
   * before they are deleted: otherwise a leader elected in between would assume that their tasks
   * never ran and run them again.
   */
  private boolean addPartialEnd(TransactionDraft draft, Job job, BitSet stored) {
    if (stored.isEmpty() || draft.isFull()) {
      return false;
    }
    JobId id = job.spec().id();
    if (job.record().dirty().get(0) && !job.record().revision(0).equals(Revision.NONE)) {
      draft.put(Keys.job(id), RecordCodec.encode(job, 0), job.record().revision(0));
      markInFlight(draft, RecordWrite.Segment.of(job, 0), 0);
    }
    for (int s = stored.nextSetBit(0); s >= 0 && !draft.isFull(); s = stored.nextSetBit(s + 1)) {
      job.record().merged().set(s);
      delete(draft, job, s);
    }
    return true;
  }
}
