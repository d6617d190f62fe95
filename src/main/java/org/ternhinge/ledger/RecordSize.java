package org.ternhinge.ledger;

import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MachineId;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;

/**
 * Computes upper bounds for the sizes of record segments, and the number of tasks per segment for
 * which segments fit the key-value store's limit on value sizes.
 */
public final class RecordSize {
  /** Bytes of field names, numbers and punctuation in a segment that are not counted separately. */
  private static final int FIXED_BYTES = 160;

  /** The list of merged segments may use the value limit divided by this number. */
  private static final int MERGED_LIST_DIVISOR = 10;

  /** Maximum bytes of a range of merged segments, such as {@code 780-787,}. */
  private static final int RANGE_BYTES = 10;

  /** Maximum bytes of an attempt with a single task on its machine, including the task's index. */
  static final int UNSHARED_TASK_BYTES = 36;

  /** Average bytes of an array's task if several tasks share an attempt number and machine. */
  private static final double SHARED_TASK_BYTES = 14.5;

  /** Bytes of punctuation and zone index in the text that precedes an open attempt's tasks. */
  private static final int PREFIX_PUNCTUATION_BYTES = 10;

  /** Minimum tasks per segment; with fewer, keys would take more space than the tasks. */
  private static final int MIN_TASKS = 8;

  /** Maximum tasks per segment; more would save few changes and make each of them larger. */
  private static final int MAX_TASKS = 127;

  private RecordSize() {}

  /** Encoded size of a job specification in bytes. */
  static int specBytes(JobSpec spec) {
    return Json.bytes(spec.write()).length;
  }

  /** Whether a job specification leaves enough space for tasks in the first segment. */
  public static boolean fits(JobSpec spec, int valueBytes) {
    int required = Math.min(spec.tasks(), MIN_TASKS) * UNSHARED_TASK_BYTES;
    return spaceForTasks(specBytes(spec), valueBytes) >= required;
  }

  /**
   * Returns the number of tasks per segment for a new record. For gangs and services every task may
   * be on a different machine; for arrays {@link SegmentCapacity} bounds admission.
   */
  static int segmentSize(JobSpec spec, int valueBytes) {
    return segmentSize(spec.kind(), specBytes(spec), valueBytes);
  }

  /** Returns the number of tasks per segment that the job's record would have if it were new. */
  static int segmentSize(Job job, int valueBytes) {
    return segmentSize(job.spec().kind(), job.record().specBytes(), valueBytes);
  }

  private static int segmentSize(JobKind kind, int specBytes, int valueBytes) {
    double bytesPerTask = kind == JobKind.ARRAY ? SHARED_TASK_BYTES : UNSHARED_TASK_BYTES;
    int tasks = (int) (spaceForTasks(specBytes, valueBytes) / bytesPerTask);
    return Math.max(MIN_TASKS, Math.min(MAX_TASKS, tasks));
  }

  /** Bytes that are available for tasks in the first segment. */
  private static int spaceForTasks(int specBytes, int valueBytes) {
    return valueBytes - specBytes - FIXED_BYTES - valueBytes / MERGED_LIST_DIVISOR;
  }

  /** Maximum number of ranges of merged segments in the first segment. */
  static int maxMergedRanges(int valueBytes) {
    return valueBytes / MERGED_LIST_DIVISOR / RANGE_BYTES;
  }

  /** Maximum bytes of a segment for any set of done tasks, without the prefixes of its attempts. */
  static int baseBytes(Job job, int segment, int valueBytes) {
    int from = job.record().firstTask(segment);
    int to = job.record().endTask(segment);
    int digits = Integer.toString(to).length();
    int firstSegmentBytes =
        segment == 0 ? job.record().specBytes() + valueBytes / MERGED_LIST_DIVISOR : 0;
    return FIXED_BYTES + firstSegmentBytes + (to - from) * (digits + 1);
  }

  /** Bytes of the prefix that precedes an open attempt's tasks, once per attempt and machine. */
  static int prefixBytes(AttemptNumber number, MachineId machine, AgentEpoch epoch) {
    return machine.value().length()
        + Long.toString(number.value()).length()
        + Long.toString(epoch.value()).length()
        + PREFIX_PUNCTUATION_BYTES;
  }
}
