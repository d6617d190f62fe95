package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Team;
import org.ternhinge.ledger.Ledger.Placement;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;

/**
 * Whatever is admitted fits the key-value store's limit on values, and goes on fitting as it ends.
 */
class SegmentCapacityTest {
  private static final SteadyTime NOW = new SteadyTime(0);

  private static ObjectNode json(String kind, int tasks) {
    return SubmissionJson.smallJob("wk-1", kind, tasks).put("cpus", 0.001).put("memory_gb", 0.001);
  }

  private static MachineAttributes site(int machine) {
    return TestMachines.on(String.format("n-%06d", 990_000 + machine), 1234);
  }

  private static void allFit(Job job, int valueBytes) {
    for (int p = 0; p < job.record().segments(); p++) {
      int bytes = Json.bytes(RecordCodec.encode(job, p)).length;
      assertTrue(bytes <= valueBytes, "segment " + p + " takes " + bytes);
    }
  }

  @ParameterizedTest(name = "{0} of {1} tasks, {2} KiB, {3} a machine")
  @CsvSource({
    "batch, 300, 2, 1",
    "batch, 300, 2, 3",
    "batch, 1800, 2, 1",
    "batch, 100000, 2, 1",
    "batch, 1800, 8, 1",
    "batch, 40, 1, 1",
    "daemon, 60, 2, 1",
    "group, 100, 2, 1"
  })
  void whatIsAdmittedFits(String kind, int tasks, int kb, int share) {
    int value = kb * 1024;
    Ledger ledger = new Ledger(Map.of("red", new Team("red", 0, 0, 0, 0)), value, new SimClock());
    JobSpec spec = SubmissionJson.parse(json(kind, tasks));
    assertTrue(RecordSize.fits(spec, value));
    Job job = new Job(spec, 1, RecordSize.segmentSize(spec, value));
    ledger.add(job);
    SplittableRandom random = new SplittableRandom(tasks);
    int machine = 0;
    int most = Math.min(tasks, 900);
    for (int round = 0; round < 40; round++) {
      List<Placement> wanted = new ArrayList<>();
      for (int i = job.nextWaiting(0); i >= 0 && i < most; i = job.nextWaiting(i + 1)) {
        if (spec.isGang() || random.nextInt(3) > 0) {
          wanted.add(new Placement(i, site(machine++ / share)));
        }
      }
      List<Placement> fits = ledger.fitting(job, wanted);
      assertTrue(!spec.isGang() || fits.size() == wanted.size(), "a gang starts whole");
      if (!fits.isEmpty()) {
        assertEquals(Optional.empty(), ledger.open(job, fits, t -> false, NOW));
      }
      allFit(job, value);
      for (Attempt a : List.copyOf(job.openAttempts())) {
        if (!spec.isGang() && random.nextInt(2) == 0) {
          ledger.close(a, random.nextInt(4) > 0);
        }
      }
      allFit(job, value);
      if (spec.isGang()) {
        List.copyOf(job.openAttempts()).forEach(a -> ledger.close(a, false));
      }
    }
    assertTrue(kind.equals("group") || job.doneCount() > most / 2, job.doneCount() + " done");
  }

  /**
   * Segments of 127 tasks, as under 8 KiB, and then 2 KiB: a gang is repartitioned, an array holds
   * back.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({"group, 110", "batch, 200"})
  void largeSegmentsOfBeforeUnderASmallerLimit(String kind, int tasks) {
    Ledger ledger = new Ledger(Map.of("red", new Team("red", 0, 0, 0, 0)), 2048, new SimClock());
    Job job = new Job(SubmissionJson.parse(json(kind, tasks)), 1, 127);
    ledger.add(job);
    List<Placement> all = new ArrayList<>();
    for (int i = 0; i < tasks; i++) {
      all.add(new Placement(i, site(i)));
    }
    List<Placement> fits = kind.equals("group") ? all : ledger.fitting(job, all);
    assertEquals(Optional.empty(), ledger.open(job, fits, t -> false, NOW));
    assertTrue(fits.size() >= 50, "only " + fits.size());
    allFit(job, 2048);
  }

  /**
   * Tasks without room ask for a repartitioned record only where that helps: a write in each round
   * for nothing would take the changes that others wait for.
   */
  @ParameterizedTest(name = "{0} of {1} tasks: {2}")
  @CsvSource({"daemon, 140, true", "batch, 1800, false", "batch, 140, false"})
  void onlyAServiceAsksForItsRecordToBeRepartitioned(String kind, int tasks, boolean asks) {
    Ledger ledger = new Ledger(Map.of("red", new Team("red", 0, 0, 0, 0)), 2048, new SimClock());
    Job job = new Job(SubmissionJson.parse(json(kind, tasks)), 1, 127);
    ledger.add(job);
    List<Placement> all = new ArrayList<>();
    for (int i = 0; i < 120; i++) {
      all.add(new Placement(i, site(i)));
    }
    assertTrue(ledger.fitting(job, all).size() < all.size());
    assertEquals(Optional.of(AdmissionRefusal.RECORD_FULL), ledger.admit(job, all, t -> false));
    assertFalse(
        ledger.hasDirty() || job.record().repartitionWanted(), "a question changes nothing");
    ledger.requestRoom(job);
    assertEquals(asks, ledger.hasDirty());
    assertEquals(asks, job.record().repartitionWanted());
    job.record().markRepartitionTooLarge();
    job.record().repartitionWanted(false);
    ledger.requestRoom(job);
    assertFalse(job.record().repartitionWanted(), "nor where it can't be");
  }

  @Test
  void aDescriptionThatLeavesNoRoomIsRefused() {
    ObjectNode json = json("batch", 100);
    assertTrue(RecordSize.fits(SubmissionJson.parse(json), 2048));
    var ids = json.putArray("bidur_eftir");
    for (int i = 0; i < 150; i++) {
      ids.add("wk-" + (100_000 + i));
    }
    assertFalse(RecordSize.fits(SubmissionJson.parse(json), 2048));
  }
}
