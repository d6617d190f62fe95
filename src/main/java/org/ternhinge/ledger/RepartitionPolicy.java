package org.ternhinge.ledger;

/**
 * Decides when a record that was written under a larger limit on values is split into smaller
 * segments. {@link RecordRepartitioner} writes the result.
 */
final class RepartitionPolicy {
  private RepartitionPolicy() {}

  /**
   * Whether a record has larger segments than it would have now, and may be repartitioned.
   *
   * @param valueBytes the most bytes that the key-value store holds as one value
   */
  static boolean permits(Job job, int valueBytes) {
    JobRecordState record = job.record();
    return RecordSize.segmentSize(job, valueBytes) < record.segmentSize()
        && record.merged().isEmpty()
        && record.inFlight().isEmpty()
        && !record.repartitionTooLarge()
        && !job.over();
  }

  /**
   * Repartitions the record of a gang that waits, where its attempts might not fit the segments
   * otherwise. No other segment than the first has a key then, so the next write of that one is
   * enough.
   */
  static void repartitionWaitingGang(Job job, int valueBytes) {
    if (job.spec().isGang()
        && permits(job, valueBytes)
        && job.openMap().isEmpty()
        && job.record().liveSegments().isEmpty()
        && !SegmentCapacity.isUnlimited(job, valueBytes)) {
      job.record().repartition(RecordSize.segmentSize(job, valueBytes));
      job.record().dirty().clear();
      job.record().dirty().set(0);
    }
  }
}
