package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Team;
import org.ternhinge.ledger.Ledger.Placement;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Resources;
import org.ternhinge.model.Revision;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SubmissionBuilder;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;

/** Admission of attempts and the state of jobs. */
class LedgerTest {
  private static final int VALUE_BYTES = 8 * 1024;
  private static final MonotonicTime NOW = new MonotonicTime(0);
  private final Ledger ledger =
      new Ledger(Map.of("red", new Team("red", 4000, 10_000, 0, 0)), VALUE_BYTES, new SimClock());

  private Job job(ObjectNode json) {
    JobSpec spec = SubmissionJson.parse(json);
    Job job = new Job(spec, 1, RecordSize.segmentSize(spec, VALUE_BYTES));
    ledger.add(job);
    return job;
  }

  private static MachineAttributes site(String name, int zone, String type, boolean spot) {
    return new MachineAttributes(
        new MachineId(name),
        new AgentEpoch(1),
        type,
        zone,
        zone == 0 ? "east" : "west",
        spot,
        Resources.ofCapacity(8, 0, 64));
  }

  private static final MachineAttributes A = site("n-1", 0, "small", false);
  private static final MachineAttributes B = site("n-2", 1, "small", false);

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "admitted | batch | {} | 0A 1A |",
        "task placed twice | batch | {} | 0A 0B | NO_SUCH_TASK",
        "index out of range | batch | {} | 9A | NO_SUCH_TASK",
        "wrong type | batch | {\"velagerdir\":[\"big\"]} | 0A | MACHINE_NOT_PERMITTED",
        "wrong zone | batch | {\"svaedi\":\"west\"} | 0A | MACHINE_NOT_PERMITTED",
        "spot refused | batch | {\"lanvelar\":false} | 0S | MACHINE_NOT_PERMITTED",
        "too many in a zone | daemon | {\"scatter\":true} | 0A 1A 2A | ZONE_LIMIT",
        "half in a zone | daemon | {\"scatter\":true} | 0A 1A 2B |",
        "incomplete gang | group | {} | 0A 1A | GANG_INCOMPLETE",
        "complete gang | group | {} | 0A 1A 2A 3B |",
        "single-zone gang in two zones | group | {\"together\":true} | 0A 1A 2A 3B | SEVERAL_ZONES",
        "machine full | batch | {\"cpus\":3.0} | 0A 1A 2A | MACHINE_FULL",
        "team limit | batch | {\"cpus\":3.0} | 0A 1A 2B 3B | TEAM_LIMIT"
      })
  void placementsAreAdmittedOrRefused(
      String name, String kind, String change, String places, AdmissionRefusal expected)
      throws Exception {
    ObjectNode json = SubmissionJson.smallJob("wk-1", kind, 4);
    json.setAll((ObjectNode) Json.parse(change.getBytes(StandardCharsets.UTF_8)));
    Job job = job(json);
    List<Placement> list = new ArrayList<>();
    for (String place : places.split(" ", -1)) {
      MachineAttributes attributes =
          place.endsWith("A") ? A : place.endsWith("B") ? B : site("n-3", 0, "small", true);
      list.add(new Placement(place.charAt(0) - '0', attributes));
    }
    assertEquals(Optional.ofNullable(expected), ledger.open(job, list, t -> false, NOW));
    int opened = expected == null ? list.size() : 0;
    assertEquals(opened, job.openAttempts().size(), "all placements are opened or none");
  }

  @Test
  void noPlacementsAndUnknownTeamsAreRefused() {
    Job job = job(SubmissionJson.smallJob("wk-1", "batch", 2));
    assertEquals(
        Optional.of(AdmissionRefusal.NOTHING_TO_PLACE),
        ledger.open(job, List.of(), t -> false, NOW));
    Job foreign = job(SubmissionBuilder.job("wk-2", "batch", 2).team("blue").json());
    assertEquals(
        Optional.of(AdmissionRefusal.UNKNOWN_TEAM),
        ledger.open(foreign, List.of(new Placement(0, A)), t -> false, NOW));
  }

  @Test
  void openAttemptBlocksTaskAndAttemptNumbersIncrease() {
    Job job = job(SubmissionJson.smallJob("wk-1", "batch", 2));
    assertEquals(Optional.empty(), ledger.open(job, List.of(new Placement(0, A)), t -> false, NOW));
    Attempt first = job.openAttempt(0);
    assertEquals(
        Optional.of(AdmissionRefusal.TASK_OPEN),
        ledger.open(job, List.of(new Placement(0, B)), t -> false, NOW));
    ledger.close(first, false);
    assertEquals(
        Optional.of(AdmissionRefusal.TASK_STILL_REPORTED),
        ledger.open(job, List.of(new Placement(0, B)), t -> t.toString().equals("wk-1/0"), NOW));
    assertEquals(Optional.empty(), ledger.open(job, List.of(new Placement(0, B)), t -> false, NOW));
    assertTrue(job.openAttempt(0).number().compareTo(first.number()) > 0);
    ledger.close(job.openAttempt(0), true);
    assertEquals(
        Optional.of(AdmissionRefusal.TASK_DONE),
        ledger.open(job, List.of(new Placement(0, A)), t -> false, NOW));
    assertEquals(Resources.ZERO, ledger.teamUsage("red"));
  }

  @Test
  void cancelledJobIsRefusedAndDoneJobIsNotCancelled() {
    Job job = job(SubmissionJson.smallJob("wk-1", "batch", 2));
    ledger.cancel(job);
    assertEquals(
        Optional.of(AdmissionRefusal.JOB_NOT_ACTIVE),
        ledger.open(job, List.of(new Placement(0, A)), t -> false, NOW));
    Job done = job(SubmissionJson.smallJob("wk-2", "batch", 1));
    ledger.open(done, List.of(new Placement(0, A)), t -> false, NOW);
    ledger.close(done.openAttempt(0), true);
    ledger.cancel(done);
    assertTrue(done.isFinished() && !done.isCancelled(), "final record may already be written");
  }

  @Test
  void doneTaskCompletesItsGang() {
    Job gang = job(SubmissionJson.smallJob("wk-1", "group", 3));
    List<Placement> all = List.of(new Placement(0, A), new Placement(1, A), new Placement(2, B));
    assertEquals(Optional.empty(), ledger.open(gang, all, t -> false, NOW));
    ledger.close(gang.openAttempt(1), true);
    assertEquals(3, gang.doneCount());
    assertTrue(!gang.isFinished(), "other attempts are still open");
    ledger.close(gang.openAttempt(0), false);
    ledger.close(gang.openAttempt(2), false);
    assertTrue(gang.isFinished());
  }

  @Test
  void segmentsOfLargestArrayFitLimitAndAreReadBack() throws Exception {
    String longest = "x".repeat(128);
    String[] types = Collections.nCopies(16, longest).toArray(String[]::new);
    JobSpec spec =
        SubmissionBuilder.job("wk-99999999999999999999", "batch", 100_000)
            .jobClass(longest)
            .image(longest)
            .machineTypes(types)
            .spec();
    int size = RecordSize.segmentSize(spec, VALUE_BYTES);
    Job job = new Job(spec, 1, size);
    for (int i = 0; i < 2 * size; i++) {
      MachineId machine = new MachineId(String.format("n-%06d", 990_000 + i));
      var number = new AttemptNumber(12_345 + i);
      job.openAttemptsByTask()
          .put(i, new Attempt(job, i, number, machine, new AgentEpoch(12), 1, false, NOW));
    }
    job.setHighestAttempt(new AttemptNumber(99_999));
    for (int segment = 0; segment < 2; segment++) {
      int bytes = Json.bytes(RecordCodec.encode(job, segment)).length;
      assertTrue(bytes <= VALUE_BYTES, "segment " + segment + " takes " + bytes);
    }
    Job decoded = RecordCodec.decodeFirst(RecordCodec.encode(job, 0), new Revision(5), NOW);
    RecordCodec.decodeTasks(decoded, 1, RecordCodec.encode(job, 1), new Revision(6), NOW);
    assertEquals(job.openAttemptsByTask().keySet(), decoded.openAttemptsByTask().keySet());
    assertEquals(job.highestAttempt(), decoded.highestAttempt());
    assertEquals(job.openAttempt(size).machine(), decoded.openAttempt(size).machine());
    assertTrue(decoded.openAttempt(size).isRecovered() && decoded.openAttempt(size).isDurable());
  }
}
