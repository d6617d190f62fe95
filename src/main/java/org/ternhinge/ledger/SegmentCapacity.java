package org.ternhinge.ledger;

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import java.util.HashSet;
import java.util.Set;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Session;

/**
 * Room for more open attempts in the segments of one job's record. What is admitted here fits the
 * limit on values whatever happens to it later: tasks only end, and their numbers are counted as if
 * each stood alone. A segment that an earlier version laid down under a larger limit takes nothing
 * more until enough of it has ended.
 */
final class SegmentCapacity {
  private record Head(int segment, AttemptNumber number, MachineId machine, Session session) {}

  private final Job job;
  private final int valueBytes;
  private final Int2IntOpenHashMap used = new Int2IntOpenHashMap();
  private final Set<Head> heads = new HashSet<>();

  SegmentCapacity(Job job, int valueBytes) {
    this.job = job;
    this.valueBytes = valueBytes;
    for (Attempt a : job.openAttempts()) {
      Head head = head(a.task().index(), a.number(), a.machine(), a.session());
      if (heads.add(head)) {
        used.addTo(head.segment, bytes(head));
      }
    }
  }

  /**
   * Whether a segment could hold each of its tasks on a machine of its own, so none need be asked.
   */
  static boolean always(Job job, int valueBytes) {
    int tasks = Math.min(job.spec().tasks(), job.segmentSize());
    return RecordSize.baseBytes(job, 0, valueBytes) + tasks * RecordSize.BYTES_ALONE <= valueBytes;
  }

  private Head head(int index, AttemptNumber number, MachineId machine, Session session) {
    return new Head(job.segmentOf(index), number, machine, session);
  }

  private static int bytes(Head h) {
    return RecordSize.headBytes(h.number, h.machine, h.session);
  }

  /** Takes room for an attempt that is to open; false where its segment has none. */
  boolean take(int index, AttemptNumber number, MachineId machine, Session session) {
    Head head = head(index, number, machine, session);
    if (heads.contains(head)) {
      return true;
    }
    int base = RecordSize.baseBytes(job, head.segment, valueBytes);
    int more = bytes(head);
    if (base + used.get(head.segment) + more > valueBytes) {
      return false;
    }
    heads.add(head);
    used.addTo(head.segment, more);
    return true;
  }
}
