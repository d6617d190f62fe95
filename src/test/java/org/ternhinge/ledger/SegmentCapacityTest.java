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
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;

/**
 * Records of admitted attempts fit the key-value store's limit on value sizes, also while the
 * attempts end.
 */
class SegmentCapacityTest {
  private static final MonotonicTime NOW = new MonotonicTime(0);

  private static ObjectNode json(String kind, int tasks) {
    return SubmissionJson.smallJob("wk-1", kind, tasks).put("cpus", 0.001).put("memory_gb", 0.001);
  }

  private static MachineAttributes site(int machine) {
    return TestMachines.on(String.format("n-%06d", 990_000 + machine), 1234);
  }

  private static void assertSegmentsFit(Job job, int valueBytes) {
    for (int segment = 0; segment < job.record().segments(); segment++) {
      int bytes = Json.bytes(RecordCodec.encode(job, segment)).length;
      assertTrue(bytes <= valueBytes, "segment " + segment + " takes " + bytes);
    }
  }

  @ParameterizedTest(name = "{0} of {1} tasks, {2} KiB, {3} per machine")
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
  void admittedAttemptsFitValueLimit(String kind, int tasks, int valueKb, int tasksPerMachine) {
    int valueBytes = valueKb * 1024;
    Ledger ledger =
        new Ledger(Map.of("red", new Team("red", 0, 0, 0, 0)), valueBytes, new SimClock());
    JobSpec spec = SubmissionJson.parse(json(kind, tasks));
    assertTrue(RecordSize.fits(spec, valueBytes));
    Job job = new Job(spec, 1, RecordSize.segmentSize(spec, valueBytes));
    ledger.add(job);
    SplittableRandom random = new SplittableRandom(tasks);
    int machine = 0;
    int maxTasks = Math.min(tasks, 900);
    for (int round = 0; round < 40; round++) {
      List<Placement> wanted = new ArrayList<>();
      for (int i = job.nextWaiting(0); i >= 0 && i < maxTasks; i = job.nextWaiting(i + 1)) {
        if (spec.isGang() || random.nextInt(3) > 0) {
          wanted.add(new Placement(i, site(machine++ / tasksPerMachine)));
        }
      }
      List<Placement> fitting = ledger.filterFitting(job, wanted);
      assertTrue(!spec.isGang() || fitting.size() == wanted.size(), "all tasks of a gang must fit");
      if (!fitting.isEmpty()) {
        assertEquals(Optional.empty(), ledger.open(job, fitting, t -> false, NOW));
      }
      assertSegmentsFit(job, valueBytes);
      for (Attempt a : List.copyOf(job.openAttempts())) {
        if (!spec.isGang() && random.nextInt(2) == 0) {
          ledger.close(a, random.nextInt(4) > 0);
        }
      }
      assertSegmentsFit(job, valueBytes);
      if (spec.isGang()) {
        List.copyOf(job.openAttempts()).forEach(a -> ledger.close(a, false));
      }
    }
    assertTrue(kind.equals("group") || job.doneCount() > maxTasks / 2, job.doneCount() + " done");
  }

  /**
   * Segments of 127 tasks, written under a limit of 8 KiB, after the limit was lowered to 2 KiB: a
   * gang is repartitioned, an array opens fewer attempts.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({"group, 110", "batch, 200"})
  void attemptsInSegmentsOfLargerLimitFitSmallerLimit(String kind, int tasks) {
    Ledger ledger = new Ledger(Map.of("red", new Team("red", 0, 0, 0, 0)), 2048, new SimClock());
    Job job = new Job(SubmissionJson.parse(json(kind, tasks)), 1, 127);
    ledger.add(job);
    List<Placement> all = new ArrayList<>();
    for (int i = 0; i < tasks; i++) {
      all.add(new Placement(i, site(i)));
    }
    List<Placement> fitting = kind.equals("group") ? all : ledger.filterFitting(job, all);
    assertEquals(Optional.empty(), ledger.open(job, fitting, t -> false, NOW));
    assertTrue(fitting.size() >= 50, "only " + fitting.size());
    assertSegmentsFit(job, 2048);
  }

  /**
   * Repartitioning is requested only where it helps: a useless write in each scheduling round would
   * consume changes that other jobs need.
   */
  @ParameterizedTest(name = "{0} of {1} tasks: {2}")
  @CsvSource({"daemon, 140, true", "batch, 1800, false", "batch, 140, false"})
  void onlyServiceRequestsRepartitioning(String kind, int tasks, boolean asks) {
    Ledger ledger = new Ledger(Map.of("red", new Team("red", 0, 0, 0, 0)), 2048, new SimClock());
    Job job = new Job(SubmissionJson.parse(json(kind, tasks)), 1, 127);
    ledger.add(job);
    List<Placement> all = new ArrayList<>();
    for (int i = 0; i < 120; i++) {
      all.add(new Placement(i, site(i)));
    }
    assertTrue(ledger.filterFitting(job, all).size() < all.size());
    assertEquals(Optional.of(AdmissionRefusal.RECORD_FULL), ledger.admit(job, all, t -> false));
    assertFalse(
        ledger.hasPendingWrites() || job.record().isRepartitionRequested(),
        "checks have no side effects");
    ledger.requestRecordSpace(job);
    assertEquals(asks, ledger.hasPendingWrites());
    assertEquals(asks, job.record().isRepartitionRequested());
    job.record().markRepartitionTooLarge();
    job.record().setRepartitionRequested(false);
    ledger.requestRecordSpace(job);
    assertFalse(
        job.record().isRepartitionRequested(), "not requested if it cannot be repartitioned");
  }

  @Test
  void specificationWithoutSpaceForTasksDoesNotFit() {
    ObjectNode json = json("batch", 100);
    assertTrue(RecordSize.fits(SubmissionJson.parse(json), 2048));
    var ids = json.putArray("bidur_eftir");
    for (int i = 0; i < 150; i++) {
      ids.add("wk-" + (100_000 + i));
    }
    assertFalse(RecordSize.fits(SubmissionJson.parse(json), 2048));
  }
}
