package org.ternhinge.ledger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.ternhinge.wire.Json;

/**
 * Splits a record into smaller segments where an earlier version wrote it under a larger limit on
 * values. All of it is written in one transaction: the segment size stands in the first segment, so
 * a leader that came in between two transactions would read the other segments wrongly.
 */
final class RecordRepartitioner {
  private final Ledger ledger;
  private final int maxChanges;

  /** The job whose record goes into a transaction of its own before anything else, or null. */
  private Job next;

  /**
   * Creates a repartitioner for records of a largest size.
   *
   * @param maxChanges the most changes that the key-value store accepts in a transaction
   */
  RecordRepartitioner(Ledger ledger, int maxChanges) {
    this.ledger = ledger;
    this.maxChanges = maxChanges;
  }

  /** Asks for a record to be repartitioned; one job at a time can wait for it. */
  void request(Job job) {
    job.record().repartitionWanted(false);
    if (job.record().segmentCount(targetSize(job)) > maxChanges) {
      job.record().markRepartitionTooLarge();
    } else if (next == null && RepartitionPolicy.permits(job, ledger.valueBytes())) {
      next = job;
    }
  }

  /**
   * Adds the record that waits to an empty transaction. While tokens are too few for the whole of
   * it, the job stays the next one.
   */
  void addTo(TransactionDraft draft) {
    if (next == null) {
      return;
    }
    Job job = next;
    int size = targetSize(job);
    if (!RepartitionPolicy.permits(job, ledger.valueBytes())) {
      next = null;
    } else if (job.record().segmentCount(size) <= draft.freeChanges()) {
      next = null;
      repartition(draft, job, size);
    }
  }

  private int targetSize(Job job) {
    return RecordSize.segmentSize(job, ledger.valueBytes());
  }

  /**
   * Smaller segments are more, so each of the old ones is written over. The record is left as it is
   * where a segment would still be too large: then an array has more open attempts than its
   * admission allows, and they will end.
   */
  private void repartition(TransactionDraft draft, Job job, int size) {
    int previousSize = job.record().segmentSize();
    job.record().repartition(size);
    List<ObjectNode> values = new ArrayList<>();
    for (int segment = 0; segment < job.record().segments(); segment++) {
      ObjectNode value = RecordCodec.encode(job, segment);
      if (Json.bytes(value).length > ledger.valueBytes()) {
        job.record().repartition(previousSize);
        return;
      }
      values.add(value);
    }
    for (int segment = 0; segment < job.record().segments(); segment++) {
      String key = Keys.segment(job.spec().id(), segment);
      draft.put(key, values.get(segment), job.record().revision(segment));
      draft.add(RecordWrite.Segment.of(job, segment));
    }
    job.record().dirty().clear();
    job.record().inFlight().set(0, job.record().segments());
    ledger.removeFromWriteQueue(job);
  }
}
