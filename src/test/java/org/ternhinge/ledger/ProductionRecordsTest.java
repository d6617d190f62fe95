package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.ternhinge.ledger.ProductionLiterals.CANCELLED;
import static org.ternhinge.ledger.ProductionLiterals.DEPENDENT_CANCELLED;
import static org.ternhinge.ledger.ProductionLiterals.DEPENDENT_MERGED;
import static org.ternhinge.ledger.ProductionLiterals.DEPENDENT_OPEN;
import static org.ternhinge.ledger.ProductionLiterals.FULL;
import static org.ternhinge.ledger.ProductionLiterals.MERGED;
import static org.ternhinge.ledger.ProductionLiterals.OPEN;
import static org.ternhinge.ledger.ProductionLiterals.PLAIN;
import static org.ternhinge.ledger.ProductionLiterals.SECOND;
import static org.ternhinge.ledger.ProductionLiterals.THIRD;
import static org.ternhinge.ledger.ProductionLiterals.WAITING;
import static org.ternhinge.ledger.ProductionLiterals.WAITING_CANCELLED;
import static org.ternhinge.ledger.ProductionLiterals.json;
import static org.ternhinge.ledger.ProductionLiterals.literal;
import static org.ternhinge.ledger.ProductionLiterals.text;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.StringJoiner;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Team;
import org.ternhinge.ledger.Ledger.Placement;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;
import org.ternhinge.model.Revision;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.WireException;

/**
 * Compatibility of job records with the version in production, byte for byte. During an upgrade
 * both versions run and read and rewrite each other's records, so the literals must not be changed.
 * They were written by the code of the version in production.
 *
 * <p>Literals whose names begin with {@code WAITING} or {@code DEPENDENT} were written by the code
 * of commit d679fcc, the first released version with dependent jobs; its stored records must stay
 * readable, too.
 */
class ProductionRecordsTest {
  private static final Revision AT = new Revision(9);
  private static final long ACCEPTED = 1_700_000_000_123L;

  private final SimClock clock = new SimClock();
  private final Ledger ledger = new Ledger(Map.of("red", new Team("red", 0, 0, 0, 0)), 8192, clock);

  private Job read(String first) throws WireException {
    return RecordCodec.decodeFirst(json(first), AT, clock.now());
  }

  private static String done(Job job) {
    StringJoiner out = new StringJoiner(" ");
    for (int i = 0; i < job.spec().tasks(); i++) {
      if (job.isDone(i)) {
        out.add(Integer.toString(i));
      }
    }
    return out.toString();
  }

  private static String open(Job job) {
    TreeSet<String> out = new TreeSet<>();
    for (Attempt a : job.openAttempts()) {
      out.add(
          String.format(
              "%02d=%s@%s#%s/%d", a.task().index(), a.number(), a.machine(), a.epoch(), a.zone()));
      assertTrue(a.isDurable() && a.isRecovered());
    }
    return String.join(" ", out);
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "plain, wk-000001, 3, 127, 0, false, '', ''",
    "full, wk-000412, 2, 127, 0, false, '', ''",
    "open, wk-000002, 20, 8, 3, false, 0 1 2 5, "
        + "03=1@n-000007#1/0 04=1@n-000007#1/0 06=1@n-000007#1/0 07=1@n-000007#1/0",
    "merged, wk-000002, 20, 8, 4, false, 0 1 2 5 8 9 10 11 12 13 14 15, "
        + "03=1@n-000007#1/0 04=1@n-000007#1/0 06=1@n-000007#1/0 07=1@n-000007#1/0",
    // Which tasks of merged segments were done is unknown if the job is cancelled.
    "cancelled, wk-000002, 20, 8, 4, true, 0 1 2 5, "
        + "03=1@n-000007#1/0 04=1@n-000007#1/0 06=1@n-000007#1/0 07=1@n-000007#1/0",
    "waiting, wk-000002, 20, 127, 0, false, '', ''",
    "'waiting, cancelled', wk-000002, 20, 8, 0, true, '', ''",
    "'dependent, open', wk-000002, 20, 8, 3, false, 0 1 2 5, "
        + "03=1@n-000007#1/0 04=1@n-000007#1/0 06=1@n-000007#1/0 07=1@n-000007#1/0",
    "'dependent, merged', wk-000002, 20, 8, 4, false, 0 1 2 5 8 9 10 11 12 13 14 15, "
        + "03=1@n-000007#1/0 04=1@n-000007#1/0 06=1@n-000007#1/0 07=1@n-000007#1/0",
    "'dependent, cancelled', wk-000002, 20, 8, 4, true, 0 1 2 5, "
        + "03=1@n-000007#1/0 04=1@n-000007#1/0 06=1@n-000007#1/0 07=1@n-000007#1/0"
  })
  void firstSegmentIsReadAndWrittenBackUnchanged(
      String name,
      String id,
      int tasks,
      int segment,
      long highest,
      boolean cancelled,
      String done,
      String open)
      throws WireException {
    Job job = read(literal(name));
    assertEquals(id, job.spec().id().value());
    assertEquals(tasks, job.spec().tasks());
    assertEquals(segment, job.record().segmentSize());
    assertEquals(ACCEPTED, job.acceptedMillis());
    assertEquals(highest, job.highestAttempt().value());
    assertEquals(cancelled, job.isCancelled());
    assertEquals(cancelled, job.isCancellationDurable());
    assertEquals(done, done(job));
    assertEquals(open, open(job));
    assertEquals(AT, job.record().revision(0));
    assertEquals(literal(name), text(RecordCodec.encode(job, 0)));
  }

  @Test
  void laterSegmentsAreReadAndWrittenBackUnchanged() throws WireException {
    Job job = read(OPEN);
    RecordCodec.decodeTasks(job, 1, json(SECOND), AT, clock.now());
    RecordCodec.decodeTasks(job, 2, json(THIRD), AT, clock.now());
    assertEquals("0 1 2 5 8 9", done(job));
    assertTrue(open(job).contains("10=2@n-000009#3/1 11=2@n-000009#3/1 16=3@n-000008#2/1"));
    assertEquals(OPEN, text(RecordCodec.encode(job, 0)));
    assertEquals(SECOND, text(RecordCodec.encode(job, 1)));
    assertEquals(THIRD, text(RecordCodec.encode(job, 2)));
  }

  @Test
  void newRecordsAreUnchanged() {
    var plain = SubmissionJson.smallJob("wk-000001", "batch", 3);
    assertEquals(PLAIN, text(RecordCodec.encodeNew(SubmissionJson.parse(plain), ACCEPTED, 8192)));
    var full =
        SubmissionJson.smallJob("wk-000412", "group", 2)
            .put("forgang", "high")
            .put("svaedi", "east");
    full.put("accelerators", 1.0).put("together", true).put("skiladagur_s", 900.0);
    full.put("vista_bil_s", 30.0).put("vistun_s", 4.0);
    full.putArray("velagerdir").add("g8").add("small");
    assertEquals(FULL, text(RecordCodec.encodeNew(SubmissionJson.parse(full), ACCEPTED, 8192)));
  }

  /**
   * A null or empty list of dependencies is not stored, since the version in production would drop
   * the field.
   */
  @ParameterizedTest
  @CsvSource({"null", "[]"})
  void emptyDependencyListIsNotStored(String none) throws WireException {
    var plain = SubmissionJson.smallJob("wk-000001", "batch", 3);
    plain.set("bidur_eftir", json("{\"x\":" + none + "}").get("x"));
    assertEquals(PLAIN, text(RecordCodec.encodeNew(SubmissionJson.parse(plain), ACCEPTED, 8192)));
  }

  /** A new job with dependencies has the same record as in commit d679fcc. */
  @Test
  void newRecordWithDependenciesIsUnchanged() {
    assertEquals(
        WAITING,
        text(RecordCodec.encodeNew(SubmissionJson.parse(twenty("batch", 2)), ACCEPTED, 8192)));
  }

  /** Segment sizes of new records under different limits on value sizes. */
  @ParameterizedTest(name = "{0}, {1} bytes, {2} dependencies")
  @CsvSource({
    "batch, 1024, 0, 33, true",
    "batch, 1024, 2, 30, true",
    "batch, 1024, 40, 8, false",
    "batch, 2048, 0, 97, true",
    "batch, 2048, 2, 94, true",
    "batch, 2048, 40, 62, true",
    "batch, 3072, 40, 126, true",
    "batch, 5120, 40, 127, true",
    "batch, 8192, 0, 127, true",
    "group, 1024, 0, 13, true",
    "group, 1024, 2, 12, true",
    "group, 1024, 40, 8, false",
    "group, 2048, 0, 39, true",
    "group, 2048, 40, 25, true",
    "group, 5120, 2, 114, true",
    "group, 8192, 40, 127, true",
    "daemon, 1024, 0, 13, true",
    "daemon, 2048, 0, 39, true",
    "daemon, 3072, 0, 64, true",
    "daemon, 8192, 0, 127, true"
  })
  void segmentSizeDependsOnKindAndLimit(
      String kind, int valueBytes, int dependencies, int tasks, boolean fits) {
    JobSpec spec = SubmissionJson.parse(twenty(kind, dependencies));
    assertEquals(tasks, RecordSize.segmentSize(spec, valueBytes));
    assertEquals(fits, RecordSize.fits(spec, valueBytes));
    assertEquals(tasks, RecordCodec.encodeNew(spec, ACCEPTED, valueBytes).get("p").asInt());
  }

  /** A job of twenty tasks with the given number of dependencies. */
  private static ObjectNode twenty(String kind, int dependencies) {
    ObjectNode body = SubmissionJson.smallJob("wk-000002", kind, 20);
    if (dependencies > 0) {
      ArrayNode ids = body.putArray("bidur_eftir");
      for (int i = 0; i < dependencies; i++) {
        ids.add(String.format("wk-%06d", 398 + i * 7));
      }
    }
    return body;
  }

  /** Dependencies read from the first segment; empty if the job has started or is cancelled. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "plain, ''",
    "waiting, wk-000398 wk-000405",
    "'waiting, cancelled', ''",
    "'dependent, open', ''",
    "'dependent, merged', ''",
    "'dependent, cancelled', ''"
  })
  void unstartedDependenciesAreReadFromRecord(String name, String ids) throws WireException {
    String found =
        RecordCodec.unstartedDependencies(json(literal(name))).stream()
            .map(JobId::value)
            .collect(Collectors.joining(" "));
    assertEquals(ids, found);
  }

  /** A job that waits, runs and is cancelled has the same records at each step. */
  @Test
  void historyOfDependentJobIsWrittenUnchanged() {
    Job job = new Job(SubmissionJson.parse(twenty("batch", 2)), ACCEPTED, 8);
    ledger.add(job);
    assertTrue(job.hasUnmetDependencies());
    endOfDependency("wk-000398", JobState.Phase.DONE);
    endOfDependency("wk-000405", JobState.Phase.DONE);
    assertFalse(job.hasUnmetDependencies());
    open(job, "n-000007", 1, 0, 0, 8);
    open(job, "n-000009", 3, 1, 8, 12);
    open(job, "n-000008", 2, 1, 16, 18);
    close(job, 0, 1, 2, 5, 8, 9);
    assertEquals(DEPENDENT_OPEN, text(RecordCodec.encode(job, 0)));
    assertEquals(SECOND, text(RecordCodec.encode(job, 1)));
    assertEquals(THIRD, text(RecordCodec.encode(job, 2)));
    open(job, "n-000009", 3, 1, 12, 16);
    close(job, 10, 11, 12, 13, 14, 15);
    assertEquals(DEPENDENT_MERGED, text(RecordCodec.encode(job, 0)));
    ledger.cancel(job);
    assertEquals(DEPENDENT_CANCELLED, text(RecordCodec.encode(job, 0)));
    assertEquals("{\"s\":\"cancelled\",\"n\":12}", text(RecordCodec.encodeFinalRecord(job)));
  }

  /** The job never started because a dependency was cancelled. */
  @Test
  void cancellationByDependencyIsWrittenUnchanged() {
    Job job = new Job(SubmissionJson.parse(twenty("batch", 2)), ACCEPTED, 8);
    ledger.add(job);
    endOfDependency("wk-000398", JobState.Phase.CANCELLED);
    assertEquals(WAITING_CANCELLED, text(RecordCodec.encode(job, 0)));
    assertEquals("{\"s\":\"cancelled\",\"n\":0}", text(RecordCodec.encodeFinalRecord(job)));
  }

  private void endOfDependency(String id, JobState.Phase phase) {
    ledger.resolveEnd(new JobState(new JobId(id), phase, 1, 0));
  }

  /** The same sequence of events results in the same records. */
  @Test
  void historyOfJobIsWrittenUnchanged() {
    Job job =
        new Job(
            SubmissionJson.parse(SubmissionJson.smallJob("wk-000002", "batch", 20)), ACCEPTED, 8);
    ledger.add(job);
    open(job, "n-000007", 1, 0, 0, 8);
    open(job, "n-000009", 3, 1, 8, 12);
    open(job, "n-000008", 2, 1, 16, 18);
    close(job, 0, 1, 2, 5, 8, 9);
    assertEquals(OPEN, text(RecordCodec.encode(job, 0)));
    assertEquals(SECOND, text(RecordCodec.encode(job, 1)));
    assertEquals(THIRD, text(RecordCodec.encode(job, 2)));
    open(job, "n-000009", 3, 1, 12, 16);
    close(job, 10, 11, 12, 13, 14, 15);
    assertEquals(MERGED, text(RecordCodec.encode(job, 0)));
    ledger.cancel(job);
    assertEquals(CANCELLED, text(RecordCodec.encode(job, 0)));
    assertEquals("{\"s\":\"cancelled\",\"n\":12}", text(RecordCodec.encodeFinalRecord(job)));
  }

  @Test
  void finalRecordOfDoneJobIsUnchanged() {
    Job job =
        new Job(
            SubmissionJson.parse(SubmissionJson.smallJob("wk-000003", "batch", 2)), ACCEPTED, 127);
    ledger.add(job);
    open(job, "n-000007", 1, 0, 0, 2);
    close(job, 0, 1);
    assertEquals("{\"s\":\"done\",\"n\":2}", text(RecordCodec.encodeFinalRecord(job)));
  }

  private void open(Job job, String machine, int epoch, int zone, int from, int to) {
    List<Placement> placements = new ArrayList<>();
    for (int i = from; i < to; i++) {
      MachineAttributes site =
          new MachineAttributes(
              new MachineId(machine),
              new AgentEpoch(epoch),
              "small",
              zone,
              zone == 0 ? "east" : "west",
              false,
              Resources.ofCapacity(64, 0, 256));
      placements.add(new Placement(i, site));
    }
    assertEquals(Optional.empty(), ledger.open(job, placements, t -> false, clock.now()));
  }

  private void close(Job job, int... indexes) {
    for (int i : indexes) {
      ledger.close(job.openAttempt(i), true);
    }
  }

  /** The state that followers return to users, from the first segment or the final record alone. */
  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "plain | QUEUED | 0 | 0",
        "open | RUNNING | 4 | 4",
        "merged | RUNNING | 12 | 4",
        "cancelled | CANCELLED | 0 | 0",
        "waiting | QUEUED | 0 | 0",
        "waiting, cancelled | CANCELLED | 0 | 0",
        "dependent, open | RUNNING | 4 | 4",
        "dependent, merged | RUNNING | 12 | 4",
        "dependent, cancelled | CANCELLED | 0 | 0",
        "{\"s\":\"done\",\"n\":2} | DONE | 2 | 0",
        "{\"s\":\"cancelled\",\"n\":12} | CANCELLED | 12 | 0"
      })
  void stateVisibleToUsersIsDecoded(String record, JobState.Phase phase, int done, int running)
      throws WireException {
    JobId id = new JobId("wk-000002");
    JobState state =
        record.startsWith("{")
            ? RecordCodec.decodeFinalRecord(id, json(record))
            : RecordCodec.decodeState(id, json(literal(record)));
    assertEquals(new JobState(id, phase, done, running), state);
  }
}
