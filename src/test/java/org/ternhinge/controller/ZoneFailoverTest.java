package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Tuning;
import org.ternhinge.model.JobId;
import org.ternhinge.model.TaskId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SubmissionBuilder;
import org.ternhinge.sim.TaskObservations.Start;

/** The loss and recovery of a zone, alone and with other faults, on virtual time. */
class ZoneFailoverTest extends ZoneFailoverFixture {
  @ParameterizedTest(name = "seed {0}")
  @CsvSource({"1", "2", "3", "4", "5", "6"})
  void lostTasksRestartInTierOrder(long seed) {
    startCluster(seed);
    submitAllTiers(3, 8, 150);
    run(40);
    double cutAt = cluster.clock.seconds();
    Set<TaskId> lost = loseFirstZone(80);
    assertTrue(lost.size() > 20, lost.size() + " tasks ran in the lost zone");
    run(RESTART_S);
    Map<TaskId, Start> restarts = restarts(lost, cutAt);
    assertEquals(lost, restarts.keySet(), "lost tasks that restarted elsewhere");
    RestartSpans.of(restarts).assertInOrder();
    assertNoViolationsAtEnd();
  }

  /**
   * A job of the highest tier that may run in the lost zone only waits for that zone and delays no
   * other job.
   */
  @Test
  void pinnedJobWaitsWithoutDelayingOthers() {
    startCluster(21);
    SubmissionBuilder pinned = job(0, "batch", 4, 60);
    JobId pinnedId = submit(pinned.zone(FIRST_ZONE));
    SubmissionBuilder large = job(0, "group", 3, 60).cpus(14.0).accelerators(2.0);
    JobId gang = submit(large.together(true).spotAllowed(false));
    submitAllTiers(2, 6, 150);
    run(40);
    double cutAt = cluster.clock.seconds();
    Set<TaskId> lost = loseFirstZone(100);
    run(30);
    assertEquals("queued", polledState(pinnedId), "state of the pinned job");
    run(60);
    Set<TaskId> movable = new HashSet<>(lost);
    movable.removeIf(task -> task.job().equals(pinnedId) || task.job().equals(gang));
    assertEquals(movable, restarts(movable, cutAt).keySet());
    assertNoViolationsAtEnd();
  }

  private String polledState(JobId id) {
    String last = users.lastState(id);
    return "running".equals(last) ? "queued" : last;
  }

  /**
   * When the zone returns, no task that runs elsewhere is moved back, and starts there are
   * rate-limited.
   */
  @ParameterizedTest(name = "seed {0}, cut for {1} s")
  @CsvSource({"31, 30", "32, 40", "33, 60"})
  void returnOfZoneMovesNothingBackAndIsPaced(long seed, double cutS) {
    startCluster(seed);
    submitAllTiers(2, 8, 300);
    run(40);
    Set<TaskId> lost = loseFirstZone(cutS);
    run(cutS);
    double backAt = cluster.clock.seconds();
    for (int i = 0; i < 6; i++) {
      submit(job(1, "batch", 30, 20));
    }
    Set<TaskId> running = new HashSet<>();
    cluster.tasks.forEachRunningTask(running::add);
    run(45);
    Set<TaskId> restarted = startedSince(running, backAt);
    // Except for tasks that workers of the cut zone ended because their leases had expired.
    restarted.removeIf(task -> lost.contains(task));
    assertEquals(Set.of(), restarted, "running tasks that were moved");
    assertStartsArePaced(backAt);
    assertNoViolationsAtEnd();
  }

  /** Asserts that the starts in the first zone stay within the rate limit at each second. */
  private void assertStartsArePaced(double from) {
    double[] perSecond = new double[60];
    for (Start start : cluster.tasks.startsSince(from)) {
      if (start.zone().equals(FIRST_ZONE)) {
        perSecond[(int) Math.min(59, start.at() - from)]++;
      }
    }
    double pacedFrom = SETTINGS.detection().settleS();
    double machines =
        cluster.machines.live().stream().filter(w -> w.zone().equals(FIRST_ZONE)).count();
    double rate = Math.max(1, SETTINGS.pace().startsPerMachine() * machines);
    double allowed = 0;
    double started = 0;
    for (int second = 0; second < 45; second++) {
      int step = (int) Math.max(0, (second - pacedFrom) / SETTINGS.pace().stepS());
      if (step >= SETTINGS.pace().steps()) {
        break;
      }
      allowed += rate * Math.pow(2, step);
      started += perSecond[second];
      assertTrue(
          started <= allowed + rate * Math.pow(2, step + 1),
          started + " starts by second " + second + ", allowed " + allowed);
    }
  }

  /** After cuts that are shorter than a lease, no task is restarted or moved. */
  @ParameterizedTest(name = "{0} s, {1} s apart")
  @CsvSource({"12, 10", "15, 20", "14, 8"})
  void cutsShorterThanLeaseMoveNothing(double cutS, double gapS) {
    startCluster(41);
    submitAllTiers(2, 8, 250);
    run(40);
    Set<TaskId> running = tasksInFirstZone();
    double cutAt = cluster.clock.seconds();
    cutFirstZone(cutS);
    run(cutS + gapS);
    cutFirstZone(cutS);
    run(cutS + 20);
    assertEquals(
        Set.of(), startedSince(running, cutAt), "restarted tasks, though no lease expired");
    assertNoViolationsAtEnd();
  }

  /** Two cuts within a minute, of which one or both outlast a lease. */
  @ParameterizedTest(name = "{0} s, then {1} s later {2} s")
  @CsvSource({"30, 5, 30", "12, 10, 40", "40, 12, 15", "26, 3, 26"})
  void flappingZoneStaysOutOfUse(double firstS, double gapS, double secondS) {
    startCluster(42);
    submitAllTiers(2, 8, 250);
    run(40);
    Set<TaskId> lost = tasksInFirstZone();
    double cutAt = cluster.clock.seconds();
    cutFirstZone(firstS);
    run(firstS + gapS);
    cutFirstZone(secondS);
    run(secondS);
    double backAt = cluster.clock.seconds();
    JobId next = submit(job(1, "batch", 60, 20));
    run(SETTINGS.detection().settleS() - 1);
    // The start of an attempt recorded before the cut may be sent now; no new attempt is recorded.
    boolean startedEarly =
        cluster.tasks.startsSince(backAt).stream()
            .anyMatch(start -> start.zone().equals(FIRST_ZONE) && start.task().job().equals(next));
    assertFalse(startedEarly, "tasks started in the zone before it settled");
    run(80);
    assertTrue(startedSince(lost, cutAt).size() <= lost.size());
    assertNoViolationsAtEnd();
  }

  /** A zone is lost together with its workers and controllers, among them possibly the leader. */
  @ParameterizedTest(name = "{0} cut for {1} s")
  @CsvSource({"east, 15", "east, 50", "west, 50", "east, 90"})
  void jobsSurviveLossOfZoneWithControllers(String zone, double seconds) {
    startCluster(51);
    submitAllTiers(4, 10, 120);
    run(40);
    cluster.networkFaults.isolateZone(zone, seconds);
    run(seconds);
    assertNoViolationsAtEnd();
  }

  /**
   * Half of the zone's machines are lost: tasks on the other half keep running, and lost tasks
   * restart.
   */
  @Test
  void healthyHalfOfZoneKeepsItsTasks() {
    startCluster(56);
    submitAllTiers(3, 8, 150);
    run(40);
    Set<TaskId> before = tasksInFirstZone();
    double cutAt = cluster.clock.seconds();
    cluster.networkFaults.dropDuringPartitions();
    cluster.machineFaults.isolateHalfOfZone(FIRST_ZONE, 100);
    run(SETTINGS.detection().suspectMaxS() + 10);
    submit(job(1, "batch", 20, 20));
    run(RESTART_S - 20);
    Set<TaskId> restarted = startedSince(before, cutAt);
    assertTrue(restarted.size() < before.size(), "tasks of the healthy half were restarted");
    assertTrue(!restarted.isEmpty(), "no lost task was restarted");
    assertNoViolationsAtEnd();
  }

  /** Two zones are lost one after the other; their tasks restart in the remaining one. */
  @Test
  void jobsSurviveLossOfTwoZones() {
    startCluster(53);
    submitAllTiers(3, 8, 150);
    run(40);
    cutFirstZone(140);
    run(20);
    cluster.machineFaults.isolateMachinesOfZone("east", 100);
    run(140);
    assertNoViolationsAtEnd();
  }

  /**
   * If the workers of all zones are silent, the fault is in the leader's own links, so no zone
   * failover begins.
   */
  @Test
  void silenceOfAllZonesCausesNoFailover() {
    startCluster(54);
    submitAllTiers(2, 8, 200);
    run(40);
    Set<TaskId> running = new HashSet<>();
    cluster.tasks.forEachRunningTask(running::add);
    double cutAt = cluster.clock.seconds();
    for (int i = 0; i < cluster.nodeCount(); i++) {
      cluster.networkFaults.isolateFromWorkers(i, 15);
    }
    run(60);
    assertEquals(Set.of(), startedSince(running, cutAt));
    assertNoViolationsAtEnd();
  }

  /** The remaining zones are full and the quota is used up; higher tiers still restart first. */
  @Test
  void jobsSurviveFailoverWithoutFreeCapacity() {
    startCluster(55, new SimCluster.Size(3, 4, 120, 60), tuning());
    submitAllTiers(3, 10, 100);
    run(40);
    loseFirstZone(60);
    run(100);
    assertNoViolationsAtEnd();
  }

  private static Tuning tuning() {
    return Tuning.DEFAULT.withZoneFailover(SETTINGS);
  }

  /**
   * A machine list that lags, and so contains dead machines, does not affect the state of a zone.
   */
  @Test
  void laggingMachineListsDoNotAffectFailover() {
    startCluster(62);
    cluster.bootFaults.setListLag(20);
    submitAllTiers(3, 8, 150);
    run(40);
    double cutAt = cluster.clock.seconds();
    Set<TaskId> lost = loseFirstZone(60);
    run(RESTART_S + 30);
    assertEquals(lost, startedSince(lost, cutAt));
    assertNoViolationsAtEnd();
  }

  /** Gangs, services and dependent jobs fail over like plain array jobs. */
  @Test
  void gangsServicesAndDependentJobsFailOver() {
    startCluster(63);
    JobId service = submit(job(0, "daemon", 4, 0).scatter(true));
    JobId gang = submit(job(1, "group", 4, 90).together(true).spotAllowed(false));
    JobId first = submit(job(1, "batch", 6, 90));
    users.submitAfterDependencies(job(2, "batch", 6, 20).dependsOn(List.of(first)));
    run(40);
    cutFirstZone(70);
    run(RESTART_S + 20);
    assertEquals(4, cluster.tasks.runningTasks(service));
    assertNoViolationsAtEnd();
    assertEquals("done", users.lastState(gang));
  }
}
