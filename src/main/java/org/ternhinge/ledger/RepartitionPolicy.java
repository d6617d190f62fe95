package org.ternhinge.ledger;

/**
 * Decides when a record that was written under a larger limit on value sizes is split into smaller
 * segments. {@link RecordRepartitioner} writes the result.
 */
final class RepartitionPolicy {
  private RepartitionPolicy() {}

  /**
   * Whether a record has larger segments than a new record would have, and may be repartitioned.
   *
   * @param valueBytes maximum size of a value in the key-value store
   */
  static boolean permits(Job job, int valueBytes) {
    JobRecordState record = job.record();
    return RecordSize.segmentSize(job, valueBytes) < record.segmentSize()
        && record.merged().isEmpty()
        && record.inFlight().isEmpty()
        && !record.isRepartitionTooLarge()
        && !job.isFinished();
  }

  /**
   * Repartitions the record of a waiting gang whose attempts might not fit the current segments.
   * Only the first segment has a key at that time, so writing that segment is sufficient.
   */
  static void repartitionWaitingGang(Job job, int valueBytes) {
    if (job.spec().isGang()
        && permits(job, valueBytes)
        && job.openAttemptsByTask().isEmpty()
        && job.record().storedLaterSegments().isEmpty()
        && !SegmentCapacity.isUnlimited(job, valueBytes)) {
      job.record().repartition(RecordSize.segmentSize(job, valueBytes));
      job.record().dirty().clear();
      job.record().dirty().set(0);
    }
  }
}
