package org.ternhinge.ledger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.ternhinge.wire.Json;

/**
 * Splits records that an earlier version wrote under a larger limit on value sizes into smaller
 * segments. The whole record is written in one transaction: the segment size is stored in the first
 * segment, so a leader elected between two transactions would misinterpret the other segments.
 */
final class RecordRepartitioner {
  private final Ledger ledger;
  private final int maxChanges;

  /** The job whose record is written next, in a transaction of its own, or null. */
  private Job requested;

  /**
   * Creates a repartitioner for records that fit one transaction.
   *
   * @param maxChanges maximum number of changes in a transaction of the key-value store
   */
  RecordRepartitioner(Ledger ledger, int maxChanges) {
    this.ledger = ledger;
    this.maxChanges = maxChanges;
  }

  /** Requests that a record be repartitioned; ignored while another job's request is pending. */
  void request(Job job) {
    job.record().setRepartitionRequested(false);
    if (job.record().segmentCount(targetSize(job)) > maxChanges) {
      job.record().markRepartitionTooLarge();
    } else if (requested == null && RepartitionPolicy.permits(job, ledger.valueBytes())) {
      requested = job;
    }
  }

  /**
   * Adds the requested record to an empty transaction. The request stays pending while the
   * available tokens do not suffice for the whole record.
   */
  void addTo(TransactionDraft draft) {
    if (requested == null) {
      return;
    }
    Job job = requested;
    int size = targetSize(job);
    if (!RepartitionPolicy.permits(job, ledger.valueBytes())) {
      requested = null;
    } else if (job.record().segmentCount(size) <= draft.freeChanges()) {
      requested = null;
      repartition(draft, job, size);
    }
  }

  private int targetSize(Job job) {
    return RecordSize.segmentSize(job, ledger.valueBytes());
  }

  /**
   * Smaller segments are more numerous, so each old segment is overwritten. The record is left
   * unchanged if a segment would still be too large: the job is then an array with more open
   * attempts than admission would allow now, and these will end.
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
