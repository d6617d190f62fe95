package org.ternhinge.ledger;

import java.util.BitSet;

/**
 * Merges finished segments of a job's record into the first segment, so that their keys can be
 * deleted. The first segment lists merged segments as ranges, whose number is limited.
 */
final class SegmentMerger {
  private final int maxRanges;

  /**
   * Creates a merger for a limit on value sizes.
   *
   * @param valueBytes maximum size of a value in the key-value store
   */
  SegmentMerger(int valueBytes) {
    this.maxRanges = RecordSize.maxMergedRanges(valueBytes);
  }

  /** Merges all finished segments as far as possible; returns whether any was merged. */
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
    return !merged.get(segment) && job.isSegmentFinished(segment) && fitsRanges(merged, segment);
  }

  /** Whether a segment extends an existing range or the list has space for another one. */
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
