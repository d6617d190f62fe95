package org.ternhinge.ledger;

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import java.util.HashSet;
import java.util.Set;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MachineId;

/**
 * Room for more open attempts in the segments of one job's record. What is admitted here fits the
 * limit on values whatever happens to it later: tasks only end, and their numbers are counted as if
 * each stood alone. A segment that an earlier version wrote under a larger limit admits nothing
 * more * until enough of it has ended.
 */
final class SegmentCapacity {
  /** What tasks of a segment share in the record where they have one attempt on one machine. */
  private record Head(int segment, AttemptNumber number, MachineId machine, AgentEpoch epoch) {
    int bytes() {
      return RecordSize.headBytes(number, machine, epoch);
    }
  }

  private final Job job;
  private final int valueBytes;
  private final Int2IntOpenHashMap headBytesBySegment = new Int2IntOpenHashMap();
  private final Set<Head> heads = new HashSet<>();

  /** The room that a job's open attempts leave. */
  SegmentCapacity(Job job, int valueBytes) {
    this.job = job;
    this.valueBytes = valueBytes;
    for (Attempt attempt : job.openAttempts()) {
      add(head(attempt.task().index(), attempt.number(), attempt.machine(), attempt.epoch()));
    }
  }

  /** Whether segments hold each of their tasks on a machine of its own, so none need be asked. */
  static boolean isUnlimited(Job job, int valueBytes) {
    int tasks = Math.min(job.spec().tasks(), job.record().segmentSize());
    return RecordSize.baseBytes(job, 0, valueBytes) + tasks * RecordSize.BYTES_ALONE <= valueBytes;
  }

  /** Reserves room for an attempt that is to open; false where its segment has none. */
  boolean reserve(int index, AttemptNumber number, MachineId machine, AgentEpoch epoch) {
    Head head = head(index, number, machine, epoch);
    if (heads.contains(head)) {
      return true;
    }
    int used =
        RecordSize.baseBytes(job, head.segment, valueBytes) + headBytesBySegment.get(head.segment);
    if (used + head.bytes() > valueBytes) {
      return false;
    }
    add(head);
    return true;
  }

  private void add(Head head) {
    if (heads.add(head)) {
      headBytesBySegment.addTo(head.segment, head.bytes());
    }
  }

  private Head head(int index, AttemptNumber number, MachineId machine, AgentEpoch epoch) {
    return new Head(job.record().segmentOf(index), number, machine, epoch);
  }
}
