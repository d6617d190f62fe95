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
  void workMovesInTheStatedOrder(long seed) {
    begin(seed);
    submitAllTiers(3, 8, 150);
    run(40);
    double cutAt = cluster.clock.seconds();
    Set<TaskId> lost = loseTheFirstZone(80);
    assertTrue(lost.size() > 20, lost.size() + " tasks are lost");
    run(RESTART_S);
    Map<TaskId, Start> restarts = restarts(lost, cutAt);
    assertEquals(lost, restarts.keySet(), "every lost task runs again elsewhere");
    Spans.of(restarts).assertInOrder();
    assertRulesHoldToTheEnd();
  }

  /** One warning may run in the lost zone only: it waits for that zone, and all others do not. */
  @Test
  void aPinnedJobWaitsAndDelaysNoOther() {
    begin(21);
    SubmissionBuilder pinned = job(0, "batch", 4, 60);
    JobId pinnedId = submit(pinned.zone(FIRST));
    SubmissionBuilder large = job(0, "group", 3, 60).cpus(14.0).accelerators(2.0);
    JobId gang = submit(large.together(true).spotAllowed(false));
    submitAllTiers(2, 6, 150);
    run(40);
    double cutAt = cluster.clock.seconds();
    Set<TaskId> lost = loseTheFirstZone(100);
    run(30);
    assertEquals("queued", polledState(pinnedId), "it waits and is known");
    run(60);
    Set<TaskId> movable = new HashSet<>(lost);
    movable.removeIf(task -> task.job().equals(pinnedId) || task.job().equals(gang));
    assertEquals(movable, restarts(movable, cutAt).keySet());
    assertRulesHoldToTheEnd();
  }

  private String polledState(JobId id) {
    String last = users.lastState(id);
    return "running".equals(last) ? "queued" : last;
  }

  /** No task that runs elsewhere by now is moved back, and new tasks start at the pacer's rate. */
  @ParameterizedTest(name = "seed {0}, cut for {1} s")
  @CsvSource({"31, 30", "32, 40", "33, 60"})
  void theReturnIsCalm(long seed, double cutS) {
    begin(seed);
    submitAllTiers(2, 8, 300);
    run(40);
    Set<TaskId> lost = loseTheFirstZone(cutS);
    run(cutS);
    double backAt = cluster.clock.seconds();
    for (int i = 0; i < 6; i++) {
      submit(job(1, "batch", 30, 20));
    }
    Set<TaskId> inPlace = new HashSet<>();
    cluster.tasks.forEachRunningTask(inPlace::add);
    run(45);
    Set<TaskId> again = startsOf(inPlace, backAt);
    // Without tasks that the cut zone's workers had ended, since their leases had expired.
    again.removeIf(task -> lost.contains(task));
    assertEquals(Set.of(), again, "what runs is not moved back");
    assertStartsArePaced(backAt);
    assertRulesHoldToTheEnd();
  }

  /** Asserts that starts in the first zone keep to the pace, in each second and over all. */
  private void assertStartsArePaced(double from) {
    double[] perSecond = new double[60];
    for (Start start : cluster.tasks.startsSince(from)) {
      if (start.zone().equals(FIRST)) {
        perSecond[(int) Math.min(59, start.at() - from)]++;
      }
    }
    double pacedFrom = SETTINGS.detection().settleS();
    double machines = cluster.machines.live().stream().filter(w -> w.zone().equals(FIRST)).count();
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

  /** After cuts shorter than a lease no task starts twice and none is moved. */
  @ParameterizedTest(name = "{0} s, {1} s apart")
  @CsvSource({"12, 10", "15, 20", "14, 8"})
  void shortFlapsMoveNothing(double cutS, double gapS) {
    begin(41);
    submitAllTiers(2, 8, 250);
    run(40);
    Set<TaskId> running = runningInFirst();
    double cutAt = cluster.clock.seconds();
    cutFirst(cutS);
    run(cutS + gapS);
    cutFirst(cutS);
    run(cutS + 20);
    assertEquals(Set.of(), startsOf(running, cutAt), "nothing was proved over");
    assertRulesHoldToTheEnd();
  }

  /** Two cuts within a minute, of which one or both outlast a lease. */
  @ParameterizedTest(name = "{0} s, then {1} s later {2} s")
  @CsvSource({"30, 5, 30", "12, 10, 40", "40, 12, 15", "26, 3, 26"})
  void flapsWithinAMinuteKeepTheZoneOutOfUse(double firstS, double gapS, double secondS) {
    begin(42);
    submitAllTiers(2, 8, 250);
    run(40);
    Set<TaskId> lost = runningInFirst();
    double cutAt = cluster.clock.seconds();
    cutFirst(firstS);
    run(firstS + gapS);
    cutFirst(secondS);
    run(secondS);
    double backAt = cluster.clock.seconds();
    JobId next = submit(job(1, "batch", 60, 20));
    run(SETTINGS.detection().settleS() - 1);
    // An attempt that was opened before the cut may get its start now; new ones are not opened.
    boolean rushes =
        cluster.tasks.startsSince(backAt).stream()
            .anyMatch(start -> start.zone().equals(FIRST) && start.task().job().equals(next));
    assertFalse(rushes, "nothing rushes back");
    run(80);
    assertTrue(startsOf(lost, cutAt).size() <= lost.size());
    assertRulesHoldToTheEnd();
  }

  /**
   * The zone in which the leader stands is lost with its workers, and with the controllers there.
   */
  @ParameterizedTest(name = "{0} cut for {1} s")
  @CsvSource({"east, 15", "east, 50", "west, 50", "east, 90"})
  void aZoneWithItsControllers(String zone, double seconds) {
    begin(51);
    submitAllTiers(4, 10, 120);
    run(40);
    cluster.networkFaults.isolateZone(zone, seconds);
    run(seconds);
    assertRulesHoldToTheEnd();
  }

  /** Half of the zone is lost: the other half goes on, and the lost tasks run again. */
  @Test
  void halfAZone() {
    begin(56);
    submitAllTiers(3, 8, 150);
    run(40);
    Set<TaskId> before = runningInFirst();
    double cutAt = cluster.clock.seconds();
    cluster.networkFaults.dropDuringPartitions();
    cluster.machineFaults.isolateHalfOfZone(FIRST, 100);
    run(SETTINGS.detection().suspectMaxS() + 10);
    submit(job(1, "batch", 20, 20));
    run(RESTART_S - 20);
    Set<TaskId> again = startsOf(before, cutAt);
    assertTrue(again.size() < before.size(), "the healthy half keeps its work");
    assertTrue(!again.isEmpty(), "the other half's work runs again");
    assertRulesHoldToTheEnd();
  }

  /** Two zones are lost one after the other; their tasks run in the last one. */
  @Test
  void twoZonesOneAfterTheOther() {
    begin(53);
    submitAllTiers(3, 8, 150);
    run(40);
    cutFirst(140);
    run(20);
    cluster.machineFaults.isolateMachinesOfZone("east", 100);
    run(140);
    assertRulesHoldToTheEnd();
  }

  /**
   * If all workers of all zones are silent, the leader's links are at fault: no failover begins.
   */
  @Test
  void allZonesAtOnceAreTheLeadersOwnLinks() {
    begin(54);
    submitAllTiers(2, 8, 200);
    run(40);
    Set<TaskId> running = new HashSet<>();
    cluster.tasks.forEachRunningTask(running::add);
    double cutAt = cluster.clock.seconds();
    for (int i = 0; i < cluster.nodeCount(); i++) {
      cluster.networkFaults.isolateFromWorkers(i, 15);
    }
    run(60);
    assertEquals(Set.of(), startsOf(running, cutAt));
    assertRulesHoldToTheEnd();
  }

  /** The remaining zones are full and the quota is used up: higher tiers still come first. */
  @Test
  void fullSurvivorsAndAUsedUpQuota() {
    begin(55, new SimCluster.Size(3, 4, 120, 60), tuning());
    submitAllTiers(3, 10, 100);
    run(40);
    loseTheFirstZone(60);
    run(100);
    assertRulesHoldToTheEnd();
  }

  private static Tuning tuning() {
    return Tuning.DEFAULT.withZoneFailover(SETTINGS);
  }

  /** Machine lists that lag or name dead machines do not decide the state of a zone. */
  @Test
  void listsThatLagChangeNothing() {
    begin(62);
    cluster.bootFaults.setListLag(20);
    submitAllTiers(3, 8, 150);
    run(40);
    double cutAt = cluster.clock.seconds();
    Set<TaskId> lost = loseTheFirstZone(60);
    run(RESTART_S + 30);
    assertEquals(lost, startsOf(lost, cutAt));
    assertRulesHoldToTheEnd();
  }

  /** Gangs, services and dependent jobs fail over too. */
  @Test
  void gangsServicesAndDependentJobs() {
    begin(63);
    JobId service = submit(job(0, "daemon", 4, 0).scatter(true));
    JobId gang = submit(job(1, "group", 4, 90).together(true).spotAllowed(false));
    JobId first = submit(job(1, "batch", 6, 90));
    users.submitAfterDependencies(job(2, "batch", 6, 20).dependsOn(List.of(first)));
    run(40);
    cutFirst(70);
    run(RESTART_S + 20);
    assertEquals(4, cluster.tasks.runningTasks(service));
    assertRulesHoldToTheEnd();
    assertEquals("done", users.lastState(gang));
  }
}
