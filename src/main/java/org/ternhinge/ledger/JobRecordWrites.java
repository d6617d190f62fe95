package org.ternhinge.ledger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Revision;
import org.ternhinge.wire.Json;

/** Adds to a transaction what one job has to write: the segments that changed, or its end. */
final class JobRecordWrites {
  /** The final record and the first segment, which every end changes. */
  private static final int END_CHANGES = 2;

  /** What became of a segment that was to be added. */
  private enum Added {
    DONE,
    /** Larger than a value may be: it stays to be written. */
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
   * Adds what a job has to write.
   *
   * @return false when the transaction is full
   */
  boolean add(TransactionDraft draft, Job job) {
    return job.over() ? addEnd(draft, job) : addChangedSegments(draft, job);
  }

  private boolean addChangedSegments(TransactionDraft draft, Job job) {
    if (job.record().repartitionWanted()) {
      repartitioner.request(job);
    }
    BitSet dirty = job.record().dirty();
    boolean complete = true;
    for (int s = dirty.nextSetBit(0); s >= 0; s = dirty.nextSetBit(s + 1)) {
      Added added = draft.isFull() ? Added.TRANSACTION_FULL : addSegment(draft, job, s);
      if (added == Added.TRANSACTION_FULL) {
        return false;
      }
      complete &= added == Added.DONE;
    }
    if (complete) {
      ledger.removeFromWriteQueue(job);
    }
    return true;
  }

  private Added addSegment(TransactionDraft draft, Job job, int segment) {
    if (segment > 0 && job.record().merged().get(segment)) {
      removeMerged(draft, job, segment);
      return Added.DONE;
    }
    ObjectNode value = RecordCodec.encode(job, segment);
    int bytes = Json.bytes(value).length;
    if (bytes > ledger.valueBytes()) {
      // Only a segment written under a larger limit gets here: admission lets no other grow so
      // far. It can be written once enough of its attempts have ended, or when repartitioned.
      // Until then the key-value store holds more attempts than there are, which is the safe side.
      repartitioner.request(job);
      return Added.TOO_LARGE;
    }
    String key = Keys.segment(job.spec().id(), segment);
    if (!draft.hasBytesFor(key, bytes)) {
      return Added.TRANSACTION_FULL;
    }
    draft.putSegment(key, value, bytes, job.record().revision(segment));
    sent(draft, RecordWrite.Segment.of(job, segment), segment);
    return Added.DONE;
  }

  private void removeMerged(TransactionDraft draft, Job job, int segment) {
    if (job.record().revision(segment).equals(Revision.NONE)) {
      // It never had a key of its own.
      job.record().dirty().clear(segment);
      return;
    }
    delete(draft, job, segment);
  }

  private static void delete(TransactionDraft draft, Job job, int segment) {
    draft.delete(Keys.segment(job.spec().id(), segment), job.record().revision(segment));
    sent(draft, new RecordWrite.SegmentRemoval(job, segment), segment);
  }

  private static void sent(TransactionDraft draft, RecordWrite write, int segment) {
    draft.add(write);
    write.job().record().dirty().clear(segment);
    write.job().record().inFlight().set(segment);
  }

  private boolean addEnd(TransactionDraft draft, Job job) {
    BitSet live = job.record().liveSegments();
    if (live.cardinality() + END_CHANGES > draft.freeChanges()) {
      return addStepTowardsEnd(draft, job, live);
    }
    JobId id = job.spec().id();
    draft.put(Keys.end(id), RecordCodec.end(job), Revision.NONE);
    draft.delete(Keys.job(id), job.record().revision(0));
    for (int s = live.nextSetBit(0); s >= 0; s = live.nextSetBit(s + 1)) {
      draft.delete(Keys.segment(id, s), job.record().revision(s));
    }
    draft.add(new RecordWrite.End(job));
    job.record().inFlight().set(0, job.record().segments());
    ledger.removeFromWriteQueue(job);
    return true;
  }

  /**
   * An end that doesn't fit a transaction as a whole is written in several: segments go first, as
   * many as fit, and the final record comes last. The first segment has to say that the others are
   * done before they may go: a leader that came in between would take their tasks for tasks that
   * never ran, and run them again.
   */
  private boolean addStepTowardsEnd(TransactionDraft draft, Job job, BitSet live) {
    if (live.isEmpty() || draft.isFull()) {
      return false;
    }
    JobId id = job.spec().id();
    if (job.record().dirty().get(0) && !job.record().revision(0).equals(Revision.NONE)) {
      draft.put(Keys.job(id), RecordCodec.encode(job, 0), job.record().revision(0));
      sent(draft, RecordWrite.Segment.of(job, 0), 0);
    }
    for (int s = live.nextSetBit(0); s >= 0 && !draft.isFull(); s = live.nextSetBit(s + 1)) {
      job.record().merged().set(s);
      delete(draft, job, s);
    }
    return true;
  }
}
