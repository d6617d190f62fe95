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
import org.ternhinge.model.Resources;
import org.ternhinge.model.Revision;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SubmissionBuilder;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;

/** Admission of attempts and the state of jobs. */
class LedgerTest {
  private static final int VALUE_BYTES = 8 * 1024;
  private static final SteadyTime NOW = new SteadyTime(0);
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
        Resources.offer(8, 0, 64));
  }

  private static final MachineAttributes A = site("n-1", 0, "small", false);
  private static final MachineAttributes B = site("n-2", 1, "small", false);

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "fine | batch | {} | 0A 1A |",
        "twice in one go | batch | {} | 0A 0B | NO_SUCH_TASK",
        "not of the job | batch | {} | 9A | NO_SUCH_TASK",
        "wrong type | batch | {\"velagerdir\":[\"big\"]} | 0A | MACHINE_NOT_PERMITTED",
        "wrong zone | batch | {\"svaedi\":\"west\"} | 0A | MACHINE_NOT_PERMITTED",
        "spot refused | batch | {\"lanvelar\":false} | 0S | MACHINE_NOT_PERMITTED",
        "too many in a zone | daemon | {\"scatter\":true} | 0A 1A 2A | ZONE_LIMIT",
        "half in a zone | daemon | {\"scatter\":true} | 0A 1A 2B |",
        "gang in part | group | {} | 0A 1A | GANG_INCOMPLETE",
        "gang whole | group | {} | 0A 1A 2A 3B |",
        "gang apart | group | {\"together\":true} | 0A 1A 2A 3B | SEVERAL_ZONES",
        "machine full | batch | {\"cpus\":3.0} | 0A 1A 2A | MACHINE_FULL",
        "limit of the team | batch | {\"cpus\":3.0} | 0A 1A 2B 3B | TEAM_LIMIT"
      })
  void placementsAreAdmittedOrRefused(
      String name, String kind, String change, String places, AdmissionRefusal expected)
      throws Exception {
    ObjectNode json = SubmissionJson.smallJob("wk-1", kind, 4);
    json.setAll((ObjectNode) Json.parse(change.getBytes(StandardCharsets.UTF_8)));
    Job job = job(json);
    List<Placement> list = new ArrayList<>();
    for (String p : places.split(" ", -1)) {
      MachineAttributes attributes =
          p.endsWith("A") ? A : p.endsWith("B") ? B : site("n-3", 0, "small", true);
      list.add(new Placement(p.charAt(0) - '0', attributes));
    }
    assertEquals(Optional.ofNullable(expected), ledger.open(job, list, t -> false, NOW));
    int opened = expected == null ? list.size() : 0;
    assertEquals(opened, job.openAttempts().size(), "all open or none");
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
  void anOpenAttemptBlocksItsTaskAndNumbersNeverRepeat() {
    Job job = job(SubmissionJson.smallJob("wk-1", "batch", 2));
    assertEquals(Optional.empty(), ledger.open(job, List.of(new Placement(0, A)), t -> false, NOW));
    Attempt first = job.open(0);
    assertEquals(
        Optional.of(AdmissionRefusal.TASK_OPEN),
        ledger.open(job, List.of(new Placement(0, B)), t -> false, NOW));
    ledger.close(first, false);
    assertEquals(
        Optional.of(AdmissionRefusal.TASK_STILL_SHOWN),
        ledger.open(job, List.of(new Placement(0, B)), t -> t.toString().equals("wk-1/0"), NOW));
    assertEquals(Optional.empty(), ledger.open(job, List.of(new Placement(0, B)), t -> false, NOW));
    assertTrue(job.open(0).number().compareTo(first.number()) > 0);
    ledger.close(job.open(0), true);
    assertEquals(
        Optional.of(AdmissionRefusal.TASK_DONE),
        ledger.open(job, List.of(new Placement(0, A)), t -> false, NOW));
    assertEquals(Resources.ZERO, ledger.teamUse("red"));
  }

  @Test
  void aCancelledJobIsRefusedAndADoneJobIsNotCancelled() {
    Job job = job(SubmissionJson.smallJob("wk-1", "batch", 2));
    ledger.cancel(job);
    assertEquals(
        Optional.of(AdmissionRefusal.JOB_OVER),
        ledger.open(job, List.of(new Placement(0, A)), t -> false, NOW));
    Job done = job(SubmissionJson.smallJob("wk-2", "batch", 1));
    ledger.open(done, List.of(new Placement(0, A)), t -> false, NOW);
    ledger.close(done.open(0), true);
    ledger.cancel(done);
    assertTrue(done.over() && !done.cancelled(), "its end may be recorded already");
  }

  @Test
  void oneFinishedTaskFinishesItsGang() {
    Job gang = job(SubmissionJson.smallJob("wk-1", "group", 3));
    List<Placement> all = List.of(new Placement(0, A), new Placement(1, A), new Placement(2, B));
    assertEquals(Optional.empty(), ledger.open(gang, all, t -> false, NOW));
    ledger.close(gang.open(1), true);
    assertEquals(3, gang.doneCount());
    assertTrue(!gang.over(), "the others may still be on their machines");
    ledger.close(gang.open(0), false);
    ledger.close(gang.open(2), false);
    assertTrue(gang.over());
  }

  @Test
  void segmentsOfTheLargestArrayFitTheLimitAndAreReadBack() throws Exception {
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
      job.openMap().put(i, new Attempt(job, i, number, machine, new AgentEpoch(12), 1, false, NOW));
    }
    job.highest(new AttemptNumber(99_999));
    for (int segment = 0; segment < 2; segment++) {
      int bytes = Json.bytes(RecordCodec.encode(job, segment)).length;
      assertTrue(bytes <= VALUE_BYTES, "segment " + segment + " takes " + bytes);
    }
    Job back = RecordCodec.decodeFirst(RecordCodec.encode(job, 0), new Revision(5), NOW);
    RecordCodec.decodeTasks(back, 1, RecordCodec.encode(job, 1), new Revision(6), NOW);
    assertEquals(job.openMap().keySet(), back.openMap().keySet());
    assertEquals(job.highest(), back.highest());
    assertEquals(job.open(size).machine(), back.open(size).machine());
    assertTrue(back.open(size).recovered() && back.open(size).durable());
  }
}
