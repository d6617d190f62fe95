package org.ternhinge.ledger;

import java.util.BitSet;

/**
 * Merges segments of a job's record that are over into the first segment, so that their keys can be
 * removed. The first segment lists the merged ones as ranges, whose number is limited.
 */
final class SegmentMerger {
  private final int maxRanges;

  /**
   * Creates a merger for records of a largest size.
   *
   * @param valueBytes the most bytes that the key-value store holds as one value
   */
  SegmentMerger(int valueBytes) {
    this.maxRanges = RecordSize.mergedRanges(valueBytes);
  }

  /** Merges all segments that are over; returns whether there were any. */
  boolean merge(Job job) {
    boolean changed = false;
    for (int segment = 1; segment < job.record().segments(); segment++) {
      if (isMergeable(job, segment)) {
        job.record().merged().set(segment);
        job.record().dirty().set(0);
        job.record().dirty().set(segment);
        changed = true;
      }
    }
    return changed;
  }

  private boolean isMergeable(Job job, int segment) {
    BitSet merged = job.record().merged();
    return !merged.get(segment) && job.isSegmentOver(segment) && fitsRanges(merged, segment);
  }

  /** Whether a segment extends a range, or the list has room for one more. */
  private boolean fitsRanges(BitSet merged, int segment) {
    return merged.get(segment + 1) || merged.get(segment - 1) || countRanges(merged) < maxRanges;
  }

  private static int countRanges(BitSet set) {
    int ranges = 0;
    for (int i = set.nextSetBit(0); i >= 0; i = set.nextSetBit(set.nextClearBit(i))) {
      ranges++;
    }
    return ranges;
  }
}
