package org.ternhinge.ledger;

import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap;
import java.util.BitSet;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Revision;
import org.ternhinge.wire.JobSpec;

/**
 * State of a job's record in the key-value store: its division into segments, and which of them
 * must be written. A segment covers a fixed number of tasks, so that large arrays fit the limit on
 * value sizes; only changed segments are written.
 */
final class JobRecordState {
  private final JobSpec spec;
  private int segmentSize;

  /** Encoded size of the job specification; 0 until computed. */
  private int specBytes;

  /** Segments with changes that are not in a transaction yet. */
  private final BitSet dirty = new BitSet();

  /** Segments in the transaction in progress. */
  private final BitSet inFlight = new BitSet();

  /** Finished segments that are listed in the first segment instead of having their own keys. */
  private final BitSet merged = new BitSet();

  /** Revisions of the segments that have a key. */
  private final Int2LongOpenHashMap revisions = new Int2LongOpenHashMap();

  private boolean unsentAttempts;
  private MonotonicTime dirtySince;
  private boolean repartitionRequested;
  private boolean repartitionTooLarge;

  JobRecordState(JobSpec spec, int segmentSize) {
    this.spec = spec;
    this.segmentSize = segmentSize;
  }

  // ---- segments -------------------------------------------------------------------------------

  /** Number of tasks that a segment covers. */
  int segmentSize() {
    return segmentSize;
  }

  /** Number of segments of the record. */
  int segments() {
    return segmentCount(segmentSize);
  }

  /** Number of segments that the record would have with the given segment size. */
  int segmentCount(int size) {
    return (spec.tasks() + size - 1) / size;
  }

  /** Index of a segment's first task. */
  int firstTask(int segment) {
    return segment * segmentSize;
  }

  /** Index after that of a segment's last task. */
  int endTask(int segment) {
    return Math.min(spec.tasks(), firstTask(segment) + segmentSize);
  }

  /** Index of the segment that covers a task. */
  int segmentOf(int index) {
    return index / segmentSize;
  }

  /** Encoded size of the job specification in bytes. */
  int specBytes() {
    if (specBytes == 0) {
      specBytes = RecordSize.specBytes(spec);
    }
    return specBytes;
  }

  // ---- writes ---------------------------------------------------------------------------------

  BitSet dirty() {
    return dirty;
  }

  BitSet inFlight() {
    return inFlight;
  }

  BitSet merged() {
    return merged;
  }

  /** Marks the segment of a task as changed. */
  void markTaskDirty(int index) {
    dirty.set(segmentOf(index));
  }

  /** Whether the current state of a task is durable in the key-value store. */
  boolean isWritten(int index) {
    int segment = segmentOf(index);
    return !dirty.get(segment) && !inFlight.get(segment);
  }

  /** Whether attempts were opened that are not in a transaction yet. */
  boolean hasUnsentAttempts() {
    return unsentAttempts;
  }

  void setHasUnsentAttempts(boolean value) {
    unsentAttempts = value;
  }

  /** When the job was added to the write queue. */
  MonotonicTime dirtySince() {
    return dirtySince;
  }

  void setDirtySince(MonotonicTime at) {
    dirtySince = at;
  }

  /** Revision of a segment's key, or {@link Revision#NONE} if the key does not exist. */
  Revision revision(int segment) {
    return new Revision(revisions.get(segment));
  }

  void setRevision(int segment, Revision revision) {
    if (revision.equals(Revision.NONE)) {
      revisions.remove(segment);
    } else {
      revisions.put(segment, revision.value());
    }
  }

  /** Segments after the first that have their own key. */
  BitSet storedLaterSegments() {
    BitSet stored = new BitSet();
    revisions.keySet().forEach(stored::set);
    stored.clear(0);
    return stored;
  }

  // ---- repartitioning -------------------------------------------------------------------------

  /**
   * Changes the segment size; unless the record is empty, the next write must include all of it.
   */
  void repartition(int size) {
    segmentSize = size;
    repartitionRequested = false;
  }

  /** Whether tasks are waiting for the record to be repartitioned. */
  boolean isRepartitionRequested() {
    return repartitionRequested;
  }

  void setRepartitionRequested(boolean requested) {
    repartitionRequested = requested;
  }

  /** Whether the repartitioned record would not fit one transaction. */
  boolean isRepartitionTooLarge() {
    return repartitionTooLarge;
  }

  void markRepartitionTooLarge() {
    repartitionTooLarge = true;
  }
}
