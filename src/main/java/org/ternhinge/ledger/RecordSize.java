package org.ternhinge.ledger;

import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MachineId;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;

/**
 * How many bytes the segments of a record take at most, and how many tasks a segment is for so that
 * it fits the key-value store's limit on values.
 */
public final class RecordSize {
  /** Names, numbers and punctuation of a segment, beside what is counted apart. */
  private static final int FRAME_BYTES = 160;

  /** The list of merged segments may take this part of the limit: one in so many bytes. */
  private static final int MERGED_PART = 10;

  /** Bytes of one range of merged segments at most, such as {@code 780-787,}. */
  private static final int RANGE_BYTES = 10;

  /** Bytes of an attempt alone on its machine, at most, with its task's number. */
  static final int BYTES_ALONE = 36;

  /** Bytes of an array's task on average, where several share an attempt's number and machine. */
  private static final double BYTES_SHARED = 14.5;

  /** Punctuation in what stands before an open attempt's tasks, and the index of its zone. */
  private static final int HEAD_PUNCTUATION_BYTES = 10;

  /** Segments for fewer tasks would cost more in keys than in tasks. */
  private static final int MIN_TASKS = 8;

  /** Segments for more tasks would save few changes, and cost more bytes for each. */
  private static final int MAX_TASKS = 127;

  private RecordSize() {}

  /** Bytes of a job's description as it stands in its record. */
  static int specBytes(JobSpec spec) {
    return Json.bytes(spec.write()).length;
  }

  /** Whether a job's description leaves room for its tasks in a record. */
  public static boolean fits(JobSpec spec, int valueBytes) {
    int least = Math.min(spec.tasks(), MIN_TASKS) * BYTES_ALONE;
    return roomForTasks(specBytes(spec), valueBytes) >= least;
  }

  /**
   * How many tasks a segment of a new record is for. Those of a gang or a service may all be on
   * machines of their own; an array's admission is bounded by {@link SegmentCapacity}.
   */
  static int segmentSize(JobSpec spec, int valueBytes) {
    return segmentSize(spec.kind(), specBytes(spec), valueBytes);
  }

  /** How many tasks a segment of a job's record would be for if the record were new. */
  static int segmentSize(Job job, int valueBytes) {
    return segmentSize(job.spec().kind(), job.record().specBytes(), valueBytes);
  }

  private static int segmentSize(JobKind kind, int specBytes, int valueBytes) {
    double bytesPerTask = kind == JobKind.ARRAY ? BYTES_SHARED : BYTES_ALONE;
    int tasks = (int) (roomForTasks(specBytes, valueBytes) / bytesPerTask);
    return Math.max(MIN_TASKS, Math.min(MAX_TASKS, tasks));
  }

  /** Bytes of the first segment that are left for its tasks. */
  private static int roomForTasks(int specBytes, int valueBytes) {
    return valueBytes - specBytes - FRAME_BYTES - valueBytes / MERGED_PART;
  }

  /** How many ranges of merged segments the first segment may list. */
  static int mergedRanges(int valueBytes) {
    return valueBytes / MERGED_PART / RANGE_BYTES;
  }

  /** Bytes of a segment, at most, however its tasks end, without the attempts' heads. */
  static int baseBytes(Job job, int segment, int valueBytes) {
    int from = job.record().firstTask(segment);
    int to = job.record().endOfTasks(segment);
    int digits = Integer.toString(to).length();
    int onlyInFirst = segment == 0 ? job.record().specBytes() + valueBytes / MERGED_PART : 0;
    return FRAME_BYTES + onlyInFirst + (to - from) * (digits + 1);
  }

  /** Bytes of what stands before an open attempt's tasks, for each attempt and machine. */
  static int headBytes(AttemptNumber number, MachineId machine, AgentEpoch epoch) {
    return machine.value().length()
        + Long.toString(number.value()).length()
        + Long.toString(epoch.value()).length()
        + HEAD_PUNCTUATION_BYTES;
  }
}
