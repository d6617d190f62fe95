package org.ternhinge.ledger;

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import java.util.HashSet;
import java.util.Set;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MachineId;

/**
 * Space for more open attempts in the segments of one job's record. Reserved attempts keep fitting
 * the limit on value sizes: afterwards tasks can only end, and task indexes are counted as if none
 * could be combined into ranges. A segment that an earlier version wrote under a larger limit
 * accepts no more attempts until enough of its own have ended.
 */
final class SegmentCapacity {
  /** The prefix that a segment's tasks share in the record if attempt and machine are the same. */
  private record AttemptPrefix(
      int segment, AttemptNumber number, MachineId machine, AgentEpoch epoch) {
    int bytes() {
      return RecordSize.prefixBytes(number, machine, epoch);
    }
  }

  private final Job job;
  private final int valueBytes;
  private final Int2IntOpenHashMap prefixBytesBySegment = new Int2IntOpenHashMap();
  private final Set<AttemptPrefix> prefixes = new HashSet<>();

  /** Computes the space that the job's open attempts leave. */
  SegmentCapacity(Job job, int valueBytes) {
    this.job = job;
    this.valueBytes = valueBytes;
    for (Attempt attempt : job.openAttempts()) {
      add(prefix(attempt.task().index(), attempt.number(), attempt.machine(), attempt.epoch()));
    }
  }

  /** Whether every segment has space for all its tasks on different machines. */
  static boolean isUnlimited(Job job, int valueBytes) {
    int tasks = Math.min(job.spec().tasks(), job.record().segmentSize());
    return RecordSize.baseBytes(job, 0, valueBytes) + tasks * RecordSize.UNSHARED_TASK_BYTES
        <= valueBytes;
  }

  /** Reserves space for an attempt; returns false if its segment has none. */
  boolean reserve(int index, AttemptNumber number, MachineId machine, AgentEpoch epoch) {
    AttemptPrefix prefix = prefix(index, number, machine, epoch);
    if (prefixes.contains(prefix)) {
      return true;
    }
    int used =
        RecordSize.baseBytes(job, prefix.segment, valueBytes)
            + prefixBytesBySegment.get(prefix.segment);
    if (used + prefix.bytes() > valueBytes) {
      return false;
    }
    add(prefix);
    return true;
  }

  private void add(AttemptPrefix prefix) {
    if (prefixes.add(prefix)) {
      prefixBytesBySegment.addTo(prefix.segment, prefix.bytes());
    }
  }

  private AttemptPrefix prefix(
      int index, AttemptNumber number, MachineId machine, AgentEpoch epoch) {
    return new AttemptPrefix(job.record().segmentOf(index), number, machine, epoch);
  }
}
