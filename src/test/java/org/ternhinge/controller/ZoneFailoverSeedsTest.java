package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Tuning;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SubmissionBuilder;

/**
 * Zones are lost, recover and flap at random, together with other faults, on virtual time.
 * Invariants are checked against the tasks that the simulated workers ran and the answers that
 * users got; work is bounded by counts.
 */
class ZoneFailoverSeedsTest extends ZoneFailoverFixture {
  private static final SimCluster.Size SMALL = new SimCluster.Size(3, 3, 60, 40);
  private static final SimCluster.Size LARGE = new SimCluster.Size(3, 60, 2400, 60);
  private static final int STEPS = 50;
  private static final double STEP_S = 3;
  private static final double WRITES_PER_S = 40;

  /** Runs a range of consecutive seeds. */
  @ParameterizedTest(name = "{1} seeds from {0} on")
  @CsvSource({"1000, 50", "2000, 50", "3000, 50", "4000, 50"})
  void invariantsHold(long firstSeed, int count) {
    for (long seed = firstSeed; seed < firstSeed + count; seed++) {
      runSeed(seed, SMALL, 20);
    }
  }

  /** The same faults with a fleet of more than 300 machines. */
  @ParameterizedTest(name = "seed {0}")
  @CsvSource({"1", "2", "3", "4"})
  void invariantsHoldInLargeFleet(long seed) {
    runSeed(seed, LARGE, 500);
    assertTrue(
        cluster.machines.totalProvisioned() > 300,
        cluster.machines.totalProvisioned() + " machines");
  }

  private void runSeed(long seed, SimCluster.Size size, int maxTasks) {
    startCluster(seed, size, Tuning.DEFAULT.withZoneFailover(SETTINGS));
    long changes = cluster.counts.storeChanges();
    for (int step = 0; step < STEPS; step++) {
      if (step < STEPS * 2 / 3 && oneIn(2)) {
        submitRandomJob(maxTasks);
      }
      if (!users.accepted().isEmpty() && oneIn(15)) {
        users.cancel(users.accepted().get(cluster.nextInt(users.accepted().size())));
      }
      if (step >= 8) {
        injectRandomFault();
      }
      run(STEP_S);
    }
    double allowed = WRITES_PER_S * 1.5 * (STEPS * STEP_S + 1);
    assertTrue(
        cluster.counts.storeChanges() - changes <= allowed,
        "seed " + seed + ": too many store changes");
    run(60);
    users.cancelServices();
    users.expectTimelyAnswers();
    run(200);
    assertEquals(List.of(), cluster.violations(), "seed " + seed);
    for (JobId id : users.accepted()) {
      String state = users.lastState(id);
      boolean over = "done".equals(state) || "cancelled".equals(state);
      assertTrue(over, "seed " + seed + ": " + id + " is " + state);
    }
  }

  private boolean oneIn(int steps) {
    return cluster.nextInt(steps) == 0;
  }

  private void submitRandomJob(int maxTasks) {
    String kind = List.of("batch", "batch", "batch", "group", "daemon").get(cluster.nextInt(5));
    int tasks = kind.equals("batch") ? 1 + cluster.nextInt(maxTasks) : 2;
    SubmissionBuilder body = job(cluster.nextInt(3), kind, tasks, 5.0 + cluster.nextInt(40));
    body.scatter(kind.equals("daemon")).together(kind.equals("group"));
    if (!kind.equals("daemon") && oneIn(8)) {
      body.zone(ZONES.get(cluster.nextInt(ZONES.size())));
    }
    submit(body);
  }

  private String randomZone() {
    return oneIn(2) ? FIRST_ZONE : ZONES.get(cluster.nextInt(ZONES.size()));
  }

  private void injectRandomFault() {
    double seconds = 3 + cluster.nextInt(45);
    switch (cluster.nextInt(24)) {
      case 0, 1 -> cluster.machineFaults.isolateZone(randomZone(), seconds);
      case 2 -> cluster.machineFaults.isolateHalfOfZone(randomZone(), seconds);
      case 3 -> cluster.networkFaults.isolateZone(ZONES.get(1 + cluster.nextInt(2)), seconds);
      case 4 -> cluster.controllers.crash(Math.max(0, cluster.leader()), oneIn(2) ? 0.3 : 5);
      case 5 -> cluster.networkFaults.isolateFromWorkers(cluster.nextInt(3), seconds);
      case 6 -> cluster.machineFaults.duplicateHeartbeats(0.3, seconds);
      case 7 -> cluster.storeFaults.delayWrites(0.3, seconds);
      case 8 -> cluster.storeFaults.slowResponses(seconds, 0.8);
      case 9 -> cluster.storeFaults.refuse(Math.max(0, cluster.leader()), seconds);
      case 10 -> cluster.machineFaults.restartMachines(0.2);
      default -> {
        // No new fault in this step.
      }
    }
  }
}
