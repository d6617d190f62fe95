package org.ternhinge.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Revision;
import org.ternhinge.model.TaskRanges;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/**
 * The layout of records in the key-value store. Other versions read and write the same records, so
 * the names of fields are a contract; they are short because values are limited in size.
 *
 * <p>A record's first segment describes the job; every segment, the first included, lists the done
 * tasks and open attempts of its own range of tasks.
 */
public final class RecordCodec {
  /** The job's description, as it was submitted. */
  private static final String SPEC = "s";

  /** Milliseconds of the wall clock at which the job was accepted. */
  private static final String ACCEPTED = "t";

  /** How many tasks a segment of this record is for. */
  private static final String SEGMENT_SIZE = "p";

  /** The highest attempt number that the job has used. */
  private static final String HIGHEST_ATTEMPT = "h";

  /**
   * How often the back-off of a job that fails everywhere has grown; absent where it has not. A
   * version that does not support it drops it, and the job then begins to back off anew.
   */
  private static final String BACKOFF_LEVEL = "e";

  /** Present and true once the job is cancelled. */
  private static final String CANCELLED = "c";

  /** Ranges of segments that are over and have no key of their own any more. */
  private static final String MERGED = "f";

  /** Ranges of tasks that are done. */
  private static final String DONE = "d";

  /** Open attempts, each {@code attempt:machine:epoch:zone:ranges of tasks}. */
  private static final String OPEN = "o";

  /** Fields of an open attempt's text. */
  private static final int ATTEMPT_FIELDS = 5;

  /** How a job ended, in its final record. */
  private static final String END_STATE = "s";

  /** How many tasks were done at a job's end. */
  private static final String END_DONE = "n";

  private static final String END_STATE_CANCELLED = "cancelled";
  private static final String END_STATE_DONE = "done";

  private RecordCodec() {}

  /**
   * The dependencies of a job that has not started, by its first segment alone; none once it has
   * started or is cancelled.
   */
  public static List<JobId> unstartedDependencies(JsonNode value) {
    boolean started =
        value.path(HIGHEST_ATTEMPT).asLong() > 0
            || !value.path(DONE).asText("").isEmpty()
            || !value.path(OPEN).isEmpty();
    boolean cancelled = value.path(CANCELLED).asBoolean();
    return started || cancelled ? List.of() : JobSpec.dependenciesOf(value.path(SPEC));
  }

  /** Whether a first segment is of a service. */
  public static boolean isService(JsonNode value) {
    return JobSpec.isService(value.path(SPEC));
  }

  /** The record of a job that was just accepted. */
  public static ObjectNode encodeNew(JobSpec spec, long acceptedMillis, int valueBytes) {
    return encodeFirst(new Job(spec, acceptedMillis, RecordSize.segmentSize(spec, valueBytes)));
  }

  /** A segment as the job stands now. */
  static ObjectNode encode(Job job, int segment) {
    return segment == 0 ? encodeFirst(job) : encodeTasks(job, segment, Json.object());
  }

  private static ObjectNode encodeFirst(Job job) {
    ObjectNode out = Json.object();
    out.set(SPEC, job.spec().write());
    out.put(ACCEPTED, job.acceptedMillis());
    out.put(SEGMENT_SIZE, job.record().segmentSize());
    out.put(HIGHEST_ATTEMPT, job.highest().value());
    if (job.backoffLevel() > 0) {
      out.put(BACKOFF_LEVEL, job.backoffLevel());
    }
    if (job.cancelled()) {
      out.put(CANCELLED, true);
    }
    if (!job.record().merged().isEmpty()) {
      out.put(MERGED, TaskRanges.encode(job.record().merged(), 0, Integer.MAX_VALUE));
    }
    return encodeTasks(job, 0, out);
  }

  private static ObjectNode encodeTasks(Job job, int segment, ObjectNode out) {
    int from = job.record().firstTask(segment);
    int to = job.record().endOfTasks(segment);
    out.put(DONE, TaskRanges.encode(job.done(), from, to));
    ArrayNode open = out.putArray(OPEN);
    tasksByAttempt(job, from, to)
        .forEach((head, tasks) -> open.add(head + TaskRanges.encode(tasks, from, to)));
    return out;
  }

  /** The open tasks of a range by what stands before them in the record, in order of the tasks. */
  private static Map<String, BitSet> tasksByAttempt(Job job, int from, int to) {
    Map<String, BitSet> tasks = new LinkedHashMap<>();
    for (int i = from; i < to; i++) {
      Attempt attempt = job.open(i);
      if (attempt != null) {
        tasks.computeIfAbsent(attemptHead(attempt), head -> new BitSet()).set(i);
      }
    }
    return tasks;
  }

  private static String attemptHead(Attempt attempt) {
    return attempt.number()
        + ":"
        + attempt.machine()
        + ":"
        + attempt.epoch()
        + ":"
        + attempt.zone()
        + ":";
  }

  /** Reads the first segment. */
  static Job decodeFirst(JsonNode value, Revision revision, MonotonicTime now)
      throws WireException {
    JsonNode spec = value.get(SPEC);
    if (spec == null) {
      throw new WireException(SPEC + ": missing");
    }
    int segmentSize = (int) Json.count(value, SEGMENT_SIZE);
    if (segmentSize < 1) {
      throw new WireException(SEGMENT_SIZE + ": out of range");
    }
    Job job = new Job(JobSpec.read(spec), Json.count(value, ACCEPTED), segmentSize);
    job.highest(new AttemptNumber(Json.count(value, HIGHEST_ATTEMPT)));
    job.backoffLevel(value.path(BACKOFF_LEVEL).asInt());
    if (value.path(CANCELLED).asBoolean()) {
      job.markCancelDurable();
    }
    for (int segment : TaskRanges.decode(value.path(MERGED).asText(""))) {
      job.record().merged().set(segment);
      if (!job.cancelled()) {
        // Of a cancelled job's merged segments it isn't known which tasks were done.
        job.done().set(job.record().firstTask(segment), job.record().endOfTasks(segment));
      }
    }
    decodeTasks(job, 0, value, revision, now);
    return job;
  }

  /** Reads what a segment says of its tasks into the job. */
  static void decodeTasks(
      Job job, int segment, JsonNode value, Revision revision, MonotonicTime now)
      throws WireException {
    job.record().revision(segment, revision);
    if (job.record().merged().get(segment)) {
      return;
    }
    for (int i : TaskRanges.decode(Json.text(value, DONE))) {
      job.done().set(i);
    }
    for (JsonNode item : Json.list(value, OPEN)) {
      decodeAttempts(job, item.asText(), now);
    }
  }

  private static void decodeAttempts(Job job, String text, MonotonicTime now) throws WireException {
    String[] fields = text.split(":", ATTEMPT_FIELDS);
    if (fields.length != ATTEMPT_FIELDS) {
      throw new WireException(OPEN + ": " + text);
    }
    AttemptNumber number = new AttemptNumber(Long.parseLong(fields[0]));
    MachineId machine = new MachineId(fields[1]);
    AgentEpoch epoch = new AgentEpoch(Long.parseLong(fields[2]));
    int zone = Integer.parseInt(fields[3]);
    for (int i : TaskRanges.decode(fields[4])) {
      job.openMap().put(i, new Attempt(job, i, number, machine, epoch, zone, true, now));
    }
  }

  /** The final record of a job that is over. */
  static ObjectNode end(Job job) {
    String state = job.cancelled() ? END_STATE_CANCELLED : END_STATE_DONE;
    return Json.object().put(END_STATE, state).put(END_DONE, job.doneCount());
  }

  /** Reads a job's final record. */
  public static JobState decodeEnd(JobId id, JsonNode value) {
    boolean cancelled = value.path(END_STATE).asText().equals(END_STATE_CANCELLED);
    JobState.Phase phase = cancelled ? JobState.Phase.CANCELLED : JobState.Phase.DONE;
    return new JobState(id, phase, value.path(END_DONE).asInt(), 0);
  }

  /** Reads the state that a user may see from the first segment alone. */
  public static JobState decodeState(JobId id, JsonNode value) {
    if (value.path(CANCELLED).asBoolean()) {
      return new JobState(id, JobState.Phase.CANCELLED, 0, 0);
    }
    int segmentSize = value.path(SEGMENT_SIZE).asInt();
    int done = TaskRanges.decode(value.path(DONE).asText("")).size();
    done += TaskRanges.decode(value.path(MERGED).asText("")).size() * segmentSize;
    int open = 0;
    for (JsonNode item : value.path(OPEN)) {
      String text = item.asText();
      open += TaskRanges.decode(text.substring(text.lastIndexOf(':') + 1)).size();
    }
    JobState.Phase phase = open > 0 ? JobState.Phase.RUNNING : JobState.Phase.QUEUED;
    return new JobState(id, phase, done, open);
  }
}
