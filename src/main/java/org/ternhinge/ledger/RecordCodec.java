package org.ternhinge.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Revision;
import org.ternhinge.model.Session;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.TaskRanges;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/**
 * The layout of records. Field names are short because values are limited: s job, t time of
 * acceptance, p segment size, h highest attempt, c cancelled, f merged segments, d done tasks, o
 * open attempts as {@code attempt:machine:session:zone:ranges}.
 */
public final class RecordCodec {
  /** Names, numbers and punctuation of a segment, beside what is counted apart. */
  private static final int FRAME_BYTES = 160;

  /** Part of a record that the list of merged segments may take. */
  private static final int MERGED_PART = 10;

  /** Bytes of one range of merged segments at most, such as {@code 780-787,}. */
  private static final int RANGE_BYTES = 10;

  /** An attempt alone on its machine, at most, with its task's number. */
  static final int BYTES_ALONE = 36;

  /** A task of an array on average, where several share an attempt's number and machine. */
  private static final double BYTES_SHARED = 14.5;

  private static final int LEAST_TASKS = 8;

  /** Larger segments would save few changes, and cost more bytes for each. */
  private static final int MOST_TASKS = 127;

  private RecordCodec() {}

  /** Bytes of the first segment that are left for its tasks. */
  private static int room(int specBytes, int valueBytes) {
    return valueBytes - specBytes - FRAME_BYTES - valueBytes / MERGED_PART;
  }

  static int specBytes(JobSpec spec) {
    return Json.bytes(spec.write()).length;
  }

  /** Whether a job's description leaves room for its tasks in a record. */
  public static boolean fits(JobSpec spec, int valueBytes) {
    int least = Math.min(spec.tasks(), LEAST_TASKS) * BYTES_ALONE;
    return room(specBytes(spec), valueBytes) >= least;
  }

  /**
   * How many tasks a segment of a job's record is for. Those of a gang or a service may all be on
   * machines of their own; an array's admission is bounded by {@link SegmentCapacity}.
   */
  public static int segmentSize(JobSpec spec, int valueBytes) {
    double each = spec.kind() == JobKind.ARRAY ? BYTES_SHARED : BYTES_ALONE;
    int tasks = (int) (room(specBytes(spec), valueBytes) / each);
    return Math.max(LEAST_TASKS, Math.min(MOST_TASKS, tasks));
  }

  /** How many ranges of merged segments the first segment may list. */
  static int mergedRanges(int valueBytes) {
    return valueBytes / MERGED_PART / RANGE_BYTES;
  }

  /** Bytes of a segment, at most, however its tasks end, without the attempts' heads. */
  static int baseBytes(Job job, int segment, int valueBytes) {
    int from = segment * job.segmentSize();
    int to = Math.min(job.spec().tasks(), from + job.segmentSize());
    int digits = Integer.toString(to).length();
    int own = segment == 0 ? job.specBytes() + valueBytes / MERGED_PART : 0;
    return FRAME_BYTES + own + (to - from) * (digits + 1);
  }

  /** Bytes of what stands before an open attempt's tasks, for each attempt and machine. */
  static int headBytes(AttemptNumber number, MachineId machine, Session session) {
    return machine.value().length()
        + Long.toString(number.value()).length()
        + Long.toString(session.value()).length()
        + 10;
  }

  /** The jobs that a job still waits for by its first segment alone: none once it was to start. */
  public static List<JobId> waitsFor(JsonNode value) {
    JsonNode ids = value.path("s").path("bidur_eftir");
    boolean started =
        value.path("h").asLong() > 0
            || !value.path("d").asText("").isEmpty()
            || !value.path("o").isEmpty();
    if (started || value.path("c").asBoolean()) {
      return List.of();
    }
    List<JobId> out = new ArrayList<>();
    ids.forEach(id -> out.add(new JobId(id.asText())));
    return out;
  }

  /** Whether a first segment is of a service. */
  public static boolean isService(JsonNode value) {
    return value.path("s").path("gerd").asText().equals(JobKind.SERVICE.word());
  }

  /** The record of a job that was just accepted. */
  public static ObjectNode fresh(JobSpec spec, long acceptedMillis, int valueBytes) {
    return first(new Job(spec, acceptedMillis, segmentSize(spec, valueBytes)));
  }

  static ObjectNode encode(Job job, int segment) {
    return segment == 0 ? first(job) : body(job, segment, Json.object());
  }

  private static ObjectNode first(Job job) {
    ObjectNode out = Json.object();
    out.set("s", job.spec().write());
    out.put("t", job.acceptedMillis()).put("p", job.segmentSize()).put("h", job.highest().value());
    if (job.cancelled()) {
      out.put("c", true);
    }
    if (!job.merged().isEmpty()) {
      out.put("f", TaskRanges.encode(job.merged(), 0, Integer.MAX_VALUE));
    }
    return body(job, 0, out);
  }

  private static ObjectNode body(Job job, int segment, ObjectNode out) {
    int from = segment * job.segmentSize();
    int to = Math.min(job.spec().tasks(), from + job.segmentSize());
    out.put("d", TaskRanges.encode(job.done(), from, to));
    Map<String, BitSet> groups = new LinkedHashMap<>();
    for (int i = from; i < to; i++) {
      Attempt a = job.open(i);
      if (a != null) {
        String head = a.number() + ":" + a.machine() + ":" + a.session() + ":" + a.zone() + ":";
        groups.computeIfAbsent(head, k -> new BitSet()).set(i);
      }
    }
    ArrayNode open = out.putArray("o");
    groups.forEach((head, set) -> open.add(head + TaskRanges.encode(set, from, to)));
    return out;
  }

  /** Reads the first segment. */
  static Job decodeFirst(JsonNode value, Revision revision, SteadyTime now) throws WireException {
    JsonNode spec = value.get("s");
    if (spec == null) {
      throw new WireException("s: missing");
    }
    int segmentSize = (int) Json.count(value, "p");
    if (segmentSize < 1) {
      throw new WireException("p: out of range");
    }
    Job job = new Job(JobSpec.read(spec), Json.count(value, "t"), segmentSize);
    job.highest(new AttemptNumber(Json.count(value, "h")));
    if (value.path("c").asBoolean()) {
      job.markCancelled(true);
    }
    for (int segment : TaskRanges.decode(value.path("f").asText(""))) {
      job.merged().set(segment);
      if (!job.cancelled()) {
        int from = segment * segmentSize;
        job.done().set(from, Math.min(job.spec().tasks(), from + segmentSize));
      }
    }
    decodeBody(job, 0, value, revision, now);
    return job;
  }

  static void decodeBody(Job job, int segment, JsonNode value, Revision revision, SteadyTime now)
      throws WireException {
    job.revision(segment, revision);
    if (job.merged().get(segment)) {
      return;
    }
    for (int i : TaskRanges.decode(Json.text(value, "d"))) {
      job.done().set(i);
    }
    for (JsonNode item : Json.list(value, "o")) {
      String[] parts = item.asText().split(":", 5);
      if (parts.length != 5) {
        throw new WireException("o: " + item.asText());
      }
      AttemptNumber number = new AttemptNumber(Long.parseLong(parts[0]));
      MachineId machine = new MachineId(parts[1]);
      Session session = new Session(Long.parseLong(parts[2]));
      int zone = Integer.parseInt(parts[3]);
      for (int i : TaskRanges.decode(parts[4])) {
        Attempt a = new Attempt(job, i, number, machine, session, zone, true, now);
        job.openMap().put(i, a);
      }
    }
  }

  static ObjectNode end(Job job) {
    boolean cancelled = job.cancelled();
    ObjectNode out = Json.object();
    out.put("s", cancelled ? "cancelled" : "done").put("n", job.doneCount());
    return out;
  }

  /** Reads a job's final record. */
  public static JobState decodeEnd(JobId id, JsonNode value) {
    boolean cancelled = value.path("s").asText().equals("cancelled");
    JobState.Phase phase = cancelled ? JobState.Phase.CANCELLED : JobState.Phase.DONE;
    return new JobState(id, phase, value.path("n").asInt(), 0);
  }

  /** Reads what a user may be told from the first segment alone. */
  public static JobState decodeState(JobId id, JsonNode value) {
    if (value.path("c").asBoolean()) {
      return new JobState(id, JobState.Phase.CANCELLED, 0, 0);
    }
    int done = TaskRanges.decode(value.path("d").asText("")).size();
    int segmentSize = value.path("p").asInt();
    done += TaskRanges.decode(value.path("f").asText("")).size() * segmentSize;
    int open = 0;
    for (JsonNode item : value.path("o")) {
      String text = item.asText();
      open += TaskRanges.decode(text.substring(text.lastIndexOf(':') + 1)).size();
    }
    JobState.Phase phase = open > 0 ? JobState.Phase.RUNNING : JobState.Phase.QUEUED;
    return new JobState(id, phase, done, open);
  }
}
