package org.ternhinge.ledger;

import java.util.ArrayList;
import java.util.List;

/** What a transaction changes in one job's record, and what follows once that is durable. */
sealed interface RecordWrite {

  /** The job whose record is written. */
  Job job();

  /**
   * One segment is set.
   *
   * @param cancels whether the write makes the job's cancellation durable
   * @param opens attempts that the write makes durable, so that their tasks may be started
   */
  record Segment(Job job, int index, boolean cancels, List<Attempt> opens) implements RecordWrite {

    /** The write of a segment as the job stands now. */
    static Segment of(Job job, int index) {
      // By the iterator and not by a stream, which goes through this map in another order: starts
      // are sent in the order of the opens.
      List<Attempt> opens = new ArrayList<>();
      for (Attempt attempt : job.openAttempts()) {
        if (!attempt.durable() && job.record().segmentOf(attempt.task().index()) == index) {
          opens.add(attempt);
        }
      }
      return new Segment(job, index, index == 0 && job.cancelled(), opens);
    }
  }

  /**
   * One segment is removed, since it was merged into the first. Removals and other writes differ
   * from when they are built: a segment that is merged only while it is being written has a key.
   */
  record SegmentRemoval(Job job, int index) implements RecordWrite {}

  /** The final record replaces all that is left of the record. */
  record End(Job job) implements RecordWrite {}
}
