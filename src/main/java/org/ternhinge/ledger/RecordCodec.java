package org.ternhinge.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.ints.IntList;
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
 * Encoding of records in the key-value store. Other versions read and write the same records, so
 * the field names must not change; they are short because the size of values is limited.
 *
 * <p>The first segment of a record contains the job specification; every segment, including the
 * first, lists the done tasks and open attempts of its range of tasks.
 */
public final class RecordCodec {
  /** The job specification as submitted. */
  private static final String SPEC = "s";

  /** Wall-clock time in milliseconds at which the job was accepted. */
  private static final String ACCEPTED = "t";

  /** Number of tasks that a segment of this record covers. */
  private static final String SEGMENT_SIZE = "p";

  /** The highest attempt number used so far. */
  private static final String HIGHEST_ATTEMPT = "h";

  /**
   * Back-off level of a job whose tasks fail on every machine; absent if 0. Versions that do not
   * support the field drop it, and the job's back-off then starts again from 0.
   */
  private static final String BACKOFF_LEVEL = "e";

  /** True if the job is cancelled, otherwise absent. */
  private static final String CANCELLED = "c";

  /** Ranges of finished segments that no longer have their own keys. */
  private static final String MERGED = "f";

  /** Ranges of done tasks. */
  private static final String DONE = "d";

  /** Open attempts, each {@code attempt:machine:epoch:zone:ranges of tasks}. */
  private static final String OPEN = "o";

  /** Number of fields in the text of an open attempt. */
  private static final int ATTEMPT_FIELDS = 5;

  /** In the final record: whether the job was done or cancelled. */
  private static final String END_STATE = "s";

  /** In the final record: number of done tasks. */
  private static final String END_DONE = "n";

  private static final String END_STATE_CANCELLED = "cancelled";
  private static final String END_STATE_DONE = "done";

  private RecordCodec() {}

  /**
   * Returns the dependencies of a job from its first segment; empty if the job has started or is
   * cancelled.
   */
  public static List<JobId> unstartedDependencies(JsonNode value) {
    boolean started =
        value.path(HIGHEST_ATTEMPT).asLong() > 0
            || !value.path(DONE).asText("").isEmpty()
            || !value.path(OPEN).isEmpty();
    boolean cancelled = value.path(CANCELLED).asBoolean();
    return started || cancelled ? List.of() : JobSpec.dependenciesOf(value.path(SPEC));
  }

  /** Whether a first segment belongs to a service. */
  public static boolean isService(JsonNode value) {
    return JobSpec.isService(value.path(SPEC));
  }

  /** Encodes the record of a newly accepted job. */
  public static ObjectNode encodeNew(JobSpec spec, long acceptedMillis, int valueBytes) {
    return encodeFirst(new Job(spec, acceptedMillis, RecordSize.segmentSize(spec, valueBytes)));
  }

  /** Encodes a segment from the job's current state. */
  static ObjectNode encode(Job job, int segment) {
    return segment == 0 ? encodeFirst(job) : encodeTasks(job, segment, Json.object());
  }

  private static ObjectNode encodeFirst(Job job) {
    ObjectNode out = Json.object();
    out.set(SPEC, job.spec().write());
    out.put(ACCEPTED, job.acceptedMillis());
    out.put(SEGMENT_SIZE, job.record().segmentSize());
    out.put(HIGHEST_ATTEMPT, job.highestAttempt().value());
    if (job.backoffLevel() > 0) {
      out.put(BACKOFF_LEVEL, job.backoffLevel());
    }
    if (job.isCancelled()) {
      out.put(CANCELLED, true);
    }
    if (!job.record().merged().isEmpty()) {
      out.put(MERGED, TaskRanges.encode(job.record().merged(), 0, Integer.MAX_VALUE));
    }
    return encodeTasks(job, 0, out);
  }

  private static ObjectNode encodeTasks(Job job, int segment, ObjectNode out) {
    int from = job.record().firstTask(segment);
    int to = job.record().endTask(segment);
    out.put(DONE, TaskRanges.encode(job.doneTasks(), from, to));
    ArrayNode open = out.putArray(OPEN);
    tasksByAttempt(job, from, to)
        .forEach((prefix, tasks) -> open.add(prefix + TaskRanges.encode(tasks, from, to)));
    return out;
  }

  /** Groups the open tasks of a range by the prefix of their attempts, in order of the tasks. */
  private static Map<String, BitSet> tasksByAttempt(Job job, int from, int to) {
    Map<String, BitSet> tasks = new LinkedHashMap<>();
    for (int i = from; i < to; i++) {
      Attempt attempt = job.openAttempt(i);
      if (attempt != null) {
        tasks.computeIfAbsent(attemptPrefix(attempt), prefix -> new BitSet()).set(i);
      }
    }
    return tasks;
  }

  private static String attemptPrefix(Attempt attempt) {
    return attempt.number()
        + ":"
        + attempt.machine()
        + ":"
        + attempt.epoch()
        + ":"
        + attempt.zone()
        + ":";
  }

  /** Decodes the first segment. */
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
    job.setHighestAttempt(new AttemptNumber(Json.count(value, HIGHEST_ATTEMPT)));
    job.setBackoffLevel(value.path(BACKOFF_LEVEL).asInt());
    if (value.path(CANCELLED).asBoolean()) {
      job.markCancellationDurable();
    }
    int segments = job.record().segments();
    for (int segment : decodeRanges(MERGED, value.path(MERGED).asText(""), segments)) {
      job.record().merged().set(segment);
      if (!job.isCancelled()) {
        // Which tasks of merged segments were done is unknown if the job is cancelled.
        job.doneTasks().set(job.record().firstTask(segment), job.record().endTask(segment));
      }
    }
    decodeTasks(job, 0, value, revision, now);
    return job;
  }

  /** Decodes a segment's done tasks and open attempts into the job. */
  static void decodeTasks(
      Job job, int segment, JsonNode value, Revision revision, MonotonicTime now)
      throws WireException {
    job.record().setRevision(segment, revision);
    if (job.record().merged().get(segment)) {
      return;
    }
    for (int i : decodeRanges(DONE, Json.text(value, DONE), job.spec().tasks())) {
      job.doneTasks().set(i);
    }
    for (JsonNode item : Json.list(value, OPEN)) {
      decodeAttempts(job, item.asText(), now);
    }
  }

  private static void decodeAttempts(Job job, String text, MonotonicTime now) throws WireException {
    String[] fields = text.split(":", ATTEMPT_FIELDS);
    if (fields.length != ATTEMPT_FIELDS) {
      throw new WireException(OPEN + ": malformed attempt: " + text);
    }
    try {
      AttemptNumber number = new AttemptNumber(Long.parseLong(fields[0]));
      MachineId machine = new MachineId(fields[1]);
      AgentEpoch epoch = new AgentEpoch(Long.parseLong(fields[2]));
      int zone = Integer.parseInt(fields[3]);
      for (int i : decodeRanges(OPEN, fields[4], job.spec().tasks())) {
        Attempt attempt = new Attempt(job, i, number, machine, epoch, zone, true, now);
        job.openAttemptsByTask().put(i, attempt);
      }
    } catch (NumberFormatException e) {
      throw new WireException(OPEN + ": malformed attempt: " + text);
    }
  }

  /** Decodes ranges of indexes from 0, inclusive, to a bound, exclusive. */
  private static IntList decodeRanges(String field, String text, int bound) throws WireException {
    IntList indexes = decodeRanges(field, text);
    for (int i = 0; i < indexes.size(); i++) {
      if (indexes.getInt(i) >= bound) {
        throw new WireException(field + ": out of range: " + indexes.getInt(i));
      }
    }
    return indexes;
  }

  private static IntList decodeRanges(String field, String text) throws WireException {
    try {
      return TaskRanges.decode(text);
    } catch (IllegalArgumentException e) {
      throw new WireException(field + ": " + e.getMessage());
    }
  }

  /** Encodes the final record of a finished job. */
  static ObjectNode encodeFinalRecord(Job job) {
    String state = job.isCancelled() ? END_STATE_CANCELLED : END_STATE_DONE;
    return Json.object().put(END_STATE, state).put(END_DONE, job.doneCount());
  }

  /**
   * Decodes a job's final record.
   *
   * @throws WireException when the record does not say how the job ended
   */
  public static JobState decodeFinalRecord(JobId id, JsonNode value) throws WireException {
    JobState.Phase phase =
        switch (Json.text(value, END_STATE)) {
          case END_STATE_CANCELLED -> JobState.Phase.CANCELLED;
          case END_STATE_DONE -> JobState.Phase.DONE;
          default -> throw new WireException(END_STATE + ": unknown end state");
        };
    return new JobState(id, phase, value.path(END_DONE).asInt(), 0);
  }

  /**
   * Decodes the state that is visible to users from the first segment alone.
   *
   * @throws WireException when the ranges of done or open tasks are malformed
   */
  public static JobState decodeState(JobId id, JsonNode value) throws WireException {
    if (value.path(CANCELLED).asBoolean()) {
      return new JobState(id, JobState.Phase.CANCELLED, 0, 0);
    }
    int segmentSize = value.path(SEGMENT_SIZE).asInt();
    int done = decodeRanges(DONE, value.path(DONE).asText("")).size();
    done += decodeRanges(MERGED, value.path(MERGED).asText("")).size() * segmentSize;
    int open = 0;
    for (JsonNode item : value.path(OPEN)) {
      String text = item.asText();
      open += decodeRanges(OPEN, text.substring(text.lastIndexOf(':') + 1)).size();
    }
    JobState.Phase phase = open > 0 ? JobState.Phase.RUNNING : JobState.Phase.QUEUED;
    return new JobState(id, phase, done, open);
  }
}
