package org.ternhinge.ledger;

import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap;
import java.util.BitSet;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Revision;
import org.ternhinge.wire.JobSpec;

/**
 * A job's record in the key-value store: how it is split into segments, and which of these are yet
 * to be written. A segment is for a fixed number of tasks, so that a large array fits the limit on
 * values; only the segments that changed are written.
 */
final class JobRecordState {
  private final JobSpec spec;
  private int segmentSize;

  /** Bytes of the job's description in the record; 0 until they are asked for. */
  private int specBytes;

  /** Segments with changes that are in no transaction yet. */
  private final BitSet dirty = new BitSet();

  /** Segments in the transaction that is under way. */
  private final BitSet inFlight = new BitSet();

  /** Segments that are over and listed in the first one. */
  private final BitSet merged = new BitSet();

  /** Revisions of the segments that have a key. */
  private final Int2LongOpenHashMap revisions = new Int2LongOpenHashMap();

  private boolean opensAttempts;
  private MonotonicTime dirtySince;
  private boolean repartitionWanted;
  private boolean repartitionTooLarge;

  JobRecordState(JobSpec spec, int segmentSize) {
    this.spec = spec;
    this.segmentSize = segmentSize;
  }

  // ---- segments -------------------------------------------------------------------------------

  /** How many tasks a segment is for. */
  int segmentSize() {
    return segmentSize;
  }

  /** How many segments the record has. */
  int segments() {
    return segmentCount(segmentSize);
  }

  /** How many segments the record would have with another segment size. */
  int segmentCount(int size) {
    return (spec.tasks() + size - 1) / size;
  }

  /** The first task of a segment. */
  int firstTask(int segment) {
    return segment * segmentSize;
  }

  /** The number after that of a segment's last task. */
  int endOfTasks(int segment) {
    return Math.min(spec.tasks(), firstTask(segment) + segmentSize);
  }

  /** The segment that a task belongs to. */
  int segmentOf(int index) {
    return index / segmentSize;
  }

  /** Bytes of the job's description in the record. */
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

  /** Marks the segment of a task for writing. */
  void markTaskDirty(int index) {
    dirty.set(segmentOf(index));
  }

  /** Whether the key-value store holds what is known of a task. */
  boolean isWritten(int index) {
    int segment = segmentOf(index);
    return !dirty.get(segment) && !inFlight.get(segment);
  }

  /** Whether attempts were opened that are in no transaction yet. */
  boolean opensAttempts() {
    return opensAttempts;
  }

  void opensAttempts(boolean value) {
    opensAttempts = value;
  }

  /** Since when the job waits in the write queue. */
  MonotonicTime dirtySince() {
    return dirtySince;
  }

  void dirtySince(MonotonicTime at) {
    dirtySince = at;
  }

  /** Revision of a segment's key, {@link Revision#NONE} where it has none. */
  Revision revision(int segment) {
    return new Revision(revisions.get(segment));
  }

  void revision(int segment, Revision revision) {
    if (revision.equals(Revision.NONE)) {
      revisions.remove(segment);
    } else {
      revisions.put(segment, revision.value());
    }
  }

  /** Segments after the first that have a key of their own. */
  BitSet liveSegments() {
    BitSet live = new BitSet();
    revisions.keySet().forEach(live::set);
    live.clear(0);
    return live;
  }

  // ---- repartitioning -------------------------------------------------------------------------

  /** Changes the segment size: the next write has to carry the whole record, unless it is empty. */
  void repartition(int size) {
    segmentSize = size;
    repartitionWanted = false;
  }

  /** Whether tasks wait for the record to be repartitioned. */
  boolean repartitionWanted() {
    return repartitionWanted;
  }

  void repartitionWanted(boolean wanted) {
    repartitionWanted = wanted;
  }

  /** Whether the record, repartitioned, would not fit one transaction. */
  boolean repartitionTooLarge() {
    return repartitionTooLarge;
  }

  void markRepartitionTooLarge() {
    repartitionTooLarge = true;
  }
}
