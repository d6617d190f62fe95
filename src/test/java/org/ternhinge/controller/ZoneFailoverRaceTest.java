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
 * A lost zone in the same moment as something else: a change of leader, a slow key-value store, the
 * end of a task, a cancellation. On virtual time.
 */
class ZoneFailoverRaceTest extends ZoneFailoverFixture {
  /**
   * The same while leadership changes: the next leader goes on in that order. It waits longer for
   * the proof that an attempt is over, so a tier may keep the next one waiting for longer here.
   */
  @ParameterizedTest(name = "leader ended {0} s after the cut, back after {1} s")
  @CsvSource({"8, 0.3", "20, 0.3", "25, 5", "27, 0.3", "27, 5", "30, 5"})
  void theOrderOutlivesTheLeader(double afterS, double backS) {
    ZoneFailoverSettings patient = settings(new ZoneFailoverSettings.Release(70, 10));
    begin(11, SIZE, Tuning.DEFAULT.withZoneFailover(patient));
    submitAllTiers(3, 8, 200);
    run(40);
    double cutAt = cluster.clock.seconds();
    Set<TaskId> lost = loseTheFirstZone(150);
    cluster.clock.runFor(afterS);
    cluster.controllers.crash(cluster.leader(), backS);
    run(130);
    Map<TaskId, Start> restarts = restarts(lost, cutAt);
    assertEquals(lost, restarts.keySet());
    Spans.of(restarts).assertInOrder();
    assertRulesHoldToTheEnd();
  }

  /** The next leader waits for the record of zones, however slowly it is read. */
  @ParameterizedTest(name = "leader ended {0} s after the cut")
  @CsvSource({"25", "27", "29"})
  void theOrderOutlivesTheLeaderWhileTheStateServiceIsSlow(double afterS) {
    ZoneFailoverSettings patient = settings(new ZoneFailoverSettings.Release(70, 10));
    begin(12, SIZE, Tuning.DEFAULT.withZoneFailover(patient));
    // Leaves idle machines, on which lower tiers would find room at once.
    submit(job(1, "batch", 40, 30).zone("east"));
    submitAllTiers(3, 8, 200);
    run(40);
    double cutAt = cluster.clock.seconds();
    Set<TaskId> lost = loseTheFirstZone(150);
    cluster.clock.runFor(afterS);
    cluster.storeFaults.slowResponses(20, 0.8);
    cluster.controllers.crash(cluster.leader(), 0.3);
    run(130);
    Map<TaskId, Start> restarts = restarts(lost, cutAt);
    assertEquals(lost, restarts.keySet());
    Spans.of(restarts).assertInOrder();
    assertRulesHoldToTheEnd();
  }

  @Test
  void aSlowStateServiceInTheSameMoment() {
    begin(52);
    submitAllTiers(3, 8, 150);
    run(40);
    double cutAt = cluster.clock.seconds();
    Set<TaskId> lost = loseTheFirstZone(90);
    cluster.storeFaults.slowResponses(60, 1.0);
    run(120);
    assertEquals(lost, startsOf(lost, cutAt));
    assertRulesHoldToTheEnd();
  }

  /**
   * A task ends in the lost zone at any moment around its lease's end: while its copy is not
   * recorded yet, is recorded, sent, started, or has ended. In each order every user hears the same
   * one result.
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
    "22, copies",
    "24, copies",
    "24.5, copies",
    "26, copies",
    "24, both",
    "25, both",
    "26, both"
  })
  void aTaskEndsWhileItsCopyBegins(double endsAfterS, String fault) {
    begin(64);
    JobId[] ids = new JobId[6];
    for (int i = 0; i < ids.length; i++) {
      // Tasks begin some two seconds after submission; a spread of ends around the one asked for.
      ids[i] = submit(job(i % 3, "batch", 3, 40 + endsAfterS - 1 + i * 0.4));
    }
    run(40);
    if (!fault.equals("leader")) {
      cluster.machineFaults.duplicateHeartbeats(fault.equals("none") ? 0 : 0.5, 80);
    }
    cutFirst(30);
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
    assertRulesHoldToTheEnd();
  }

  /**
   * A cancellation that is confirmed for tasks in the lost zone: ended in time and not restarted
   * elsewhere.
   */
  @ParameterizedTest(name = "cancelled {0} s after the cut")
  @CsvSource({"1", "10", "23", "26", "32"})
  void cancelledWorkIsNotCopied(double afterS) {
    begin(61);
    JobId cancelled = submit(job(0, "batch", 12, 400));
    submitAllTiers(1, 6, 150);
    run(40);
    loseTheFirstZone(70);
    cluster.clock.runFor(afterS);
    users.cancel(cancelled);
    run(1);
    double cancelledAt = cluster.clock.seconds();
    boolean confirmed = "cancelled".equals(users.lastState(cancelled));
    run(80);
    if (confirmed) {
      List<Start> copies = cluster.tasks.startsSince(cancelledAt + COMMAND_S);
      assertFalse(copies.stream().anyMatch(start -> start.task().job().equals(cancelled)));
    }
    assertRulesHoldToTheEnd();
    assertEquals("cancelled", users.lastState(cancelled));
  }
}
