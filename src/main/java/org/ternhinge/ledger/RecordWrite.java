package org.ternhinge.ledger;

import java.util.ArrayList;
import java.util.List;

/** A change to a job's record in a transaction, with its effects once it is durable. */
sealed interface RecordWrite {

  /** The job whose record is written. */
  Job job();

  /**
   * Sets a segment.
   *
   * @param makesCancellationDurable whether the write makes the job's cancellation durable
   * @param openedAttempts attempts that become durable by the write, so that their tasks may be
   *     started
   */
  record Segment(Job job, int index, boolean makesCancellationDurable, List<Attempt> openedAttempts)
      implements RecordWrite {

    /** Creates the write of a segment from the job's current state. */
    static Segment of(Job job, int index) {
      // Uses the iterator, since a stream visits this map in a different order: starts are sent
      // in the order of this list.
      List<Attempt> openedAttempts = new ArrayList<>();
      for (Attempt attempt : job.openAttempts()) {
        if (!attempt.isDurable() && job.record().segmentOf(attempt.task().index()) == index) {
          openedAttempts.add(attempt);
        }
      }
      return new Segment(job, index, index == 0 && job.isCancelled(), openedAttempts);
    }
  }

  /**
   * Deletes a segment that was merged into the first one. Whether a write is a deletion is fixed
   * when it is built: a segment that is merged while being written has a key afterwards.
   */
  record SegmentDeletion(Job job, int index) implements RecordWrite {}

  /** Replaces the remaining segments by the final record. */
  record FinalRecord(Job job) implements RecordWrite {}
}
