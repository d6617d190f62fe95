package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Tuning;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.JobId;
import org.ternhinge.model.TaskId;
import org.ternhinge.sim.TaskObservations.Start;

/**
 * The loss of a zone races with another event: a change of leader, a slow key-value store, the end
 * of a task or a cancellation. On virtual time.
 */
class ZoneFailoverRaceTest extends ZoneFailoverFixture {
  /**
   * Tasks restart in the order of their tiers even if leadership changes meanwhile. The next leader
   * waits longer until an attempt is known to have ended, so a tier may hold back the next one for
   * longer in these settings.
   */
  @ParameterizedTest(name = "leader crashes {0} s after the cut, for {1} s")
  @CsvSource({"8, 0.3", "20, 0.3", "25, 5", "27, 0.3", "27, 5", "30, 5"})
  void restartOrderSurvivesFailover(double afterS, double backS) {
    ZoneFailoverSettings longHold = settings(new ZoneFailoverSettings.Release(70, 10));
    startCluster(11, SIZE, Tuning.DEFAULT.withZoneFailover(longHold));
    submitAllTiers(3, 8, 200);
    run(40);
    double cutAt = cluster.clock.seconds();
    Set<TaskId> lost = loseFirstZone(150);
    cluster.clock.runFor(afterS);
    cluster.controllers.crash(cluster.leader(), backS);
    run(130);
    Map<TaskId, Start> restarts = restarts(lost, cutAt);
    assertEquals(lost, restarts.keySet());
    RestartSpans.of(restarts).assertInOrder();
    assertNoViolationsAtEnd();
  }

  /** The next leader waits until it has read the zone record, however slow the store is. */
  @ParameterizedTest(name = "leader crashes {0} s after the cut")
  @CsvSource({"25", "27", "29"})
  void restartOrderSurvivesFailoverOverSlowStore(double afterS) {
    ZoneFailoverSettings longHold = settings(new ZoneFailoverSettings.Release(70, 10));
    startCluster(12, SIZE, Tuning.DEFAULT.withZoneFailover(longHold));
    // Leaves idle machines, on which tasks of lower tiers could start at once.
    submit(job(1, "batch", 40, 30).zone("east"));
    submitAllTiers(3, 8, 200);
    run(40);
    double cutAt = cluster.clock.seconds();
    Set<TaskId> lost = loseFirstZone(150);
    cluster.clock.runFor(afterS);
    cluster.storeFaults.slowResponses(20, 0.8);
    cluster.controllers.crash(cluster.leader(), 0.3);
    run(130);
    Map<TaskId, Start> restarts = restarts(lost, cutAt);
    assertEquals(lost, restarts.keySet());
    RestartSpans.of(restarts).assertInOrder();
    assertNoViolationsAtEnd();
  }

  @Test
  void lostTasksRestartOverSlowStore() {
    startCluster(52);
    submitAllTiers(3, 8, 150);
    run(40);
    double cutAt = cluster.clock.seconds();
    Set<TaskId> lost = loseFirstZone(90);
    cluster.storeFaults.slowResponses(60, 1.0);
    run(120);
    assertEquals(lost, startedSince(lost, cutAt));
    assertNoViolationsAtEnd();
  }

  /**
   * A task ends in the lost zone around the expiry of its lease: before its next attempt is
   * recorded, or after that attempt is recorded, sent, started or ended. In each case all users get
   * the same single result.
   */
  @ParameterizedTest(name = "{0} s after the cut, {1}")
  @CsvSource({
    "20, none",
    "22, none",
    "23, none",
    "23.5, none",
    "24, none",
    "24.5, none",
    "25, none",
    "26, none",
    "23, leader",
    "24, leader",
    "25, leader",
    "27, leader",
    "33, leader",
    "22, duplicates",
    "24, duplicates",
    "24.5, duplicates",
    "26, duplicates",
    "24, both",
    "25, both",
    "26, both"
  })
  void resultStaysUniqueWhenTaskEndsDuringRestart(double endsAfterS, String fault) {
    startCluster(64);
    JobId[] ids = new JobId[6];
    for (int i = 0; i < ids.length; i++) {
      // Tasks start about 2 s after submission; their ends spread around the requested time.
      ids[i] = submit(job(i % 3, "batch", 3, 40 + endsAfterS - 1 + i * 0.4));
    }
    run(40);
    if (!fault.equals("leader")) {
      cluster.machineFaults.duplicateHeartbeats(fault.equals("none") ? 0 : 0.5, 80);
    }
    cutFirstZone(30);
    cluster.clock.runFor(endsAfterS);
    if (fault.equals("leader") || fault.equals("both")) {
      cluster.controllers.crash(cluster.leader(), 0.3);
    }
    for (int i = 0; i < 40; i++) {
      run(3);
      for (JobId id : ids) {
        users.pollAllControllers(id);
      }
    }
    assertNoViolationsAtEnd();
  }

  /**
   * Tasks in the lost zone whose cancellation is confirmed end in time and are not restarted
   * elsewhere.
   */
  @ParameterizedTest(name = "cancelled {0} s after the cut")
  @CsvSource({"1", "10", "23", "26", "32"})
  void cancelledTasksAreNotRestarted(double afterS) {
    startCluster(61);
    JobId cancelled = submit(job(0, "batch", 12, 400));
    submitAllTiers(1, 6, 150);
    run(40);
    loseFirstZone(70);
    cluster.clock.runFor(afterS);
    users.cancel(cancelled);
    run(1);
    double cancelledAt = cluster.clock.seconds();
    boolean confirmed = "cancelled".equals(users.lastState(cancelled));
    run(80);
    if (confirmed) {
      List<Start> restarts = cluster.tasks.startsSince(cancelledAt + COMMAND_JITTER_S);
      assertFalse(restarts.stream().anyMatch(start -> start.task().job().equals(cancelled)));
    }
    assertNoViolationsAtEnd();
    assertEquals("cancelled", users.lastState(cancelled));
  }
}
