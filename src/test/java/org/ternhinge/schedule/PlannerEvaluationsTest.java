package org.ternhinge.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.MachineId;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.schedule.Snapshot.Offer;
import org.ternhinge.wire.JobSpec;

/** The number of evaluations of a round in large fleets, and the effects of its budget. */
class PlannerEvaluationsTest extends PlannerFixture {
  /** At 1,700 machines, these two steps once took nine tenths of the leader's processor time. */
  @Test
  void consolidationAndExpectedJobsEvaluateEachMachineAFewTimes() {
    int fleet = 1700;
    Map<String, Object> request = Map.of("cpus", 4.0, "forgang", "production", "lanvelar", false);
    for (int i = 0; i < fleet / 2; i++) {
      JobSpec service = spec("wk-1" + i % 100, "daemon", 40, request);
      machine("n-1" + i, ACCELERATED, 0, Set.of(), running(service, i / 100, 100));
      // Free room that is too expensive as a target and that expected jobs must not use.
      machine("n-2" + i, ACCELERATED, 0, Set.of());
    }
    long evaluations = plan().evaluations();
    assertTrue(evaluations < 20L * fleet, "evaluations for consolidation: " + evaluations);
    machines.clear();
    for (int i = 0; i < fleet; i++) {
      machine("n-" + i, PLAIN, 0, Set.of(), running(spec("wk-9", "daemon", 1, request), 0, 10));
    }
    for (int i = 0; i < 200; i++) {
      expectedJobs.add(JobView.expected(spec("wk-3" + i, "daemon", 9, request), i, 2));
    }
    evaluations = plan().evaluations();
    assertTrue(evaluations < 5L * fleet, "evaluations for expected jobs: " + evaluations);
  }

  @Test
  void machinesWithRoomForExpectedJobsAreNotReleased() {
    Map<String, Object> request = Map.of("cpus", 2.0, "forgang", "production");
    machine("n-1", PLAIN, 0, Set.of());
    machine("n-2", PLAIN, 0, Set.of(), running(spec("wk-9", "daemon", 1, request), 0, 100));
    assertEquals(List.of(new MachineId("n-1")), plan().releases());
    expectedJobs.add(JobView.expected(spec("wk-1", "daemon", 1, request), 0, 2));
    assertEquals(1, plan().releases().size(), "the busy machine has room for the expected job");
    expectedJobs.add(JobView.expected(spec("wk-2", "daemon", 1, request), 1, 2));
    assertEquals(List.of(), plan().releases());
    offers.add(new Offer(PLAIN, 0, "east", false, 10));
    expectedJobs.add(JobView.expected(spec("wk-3", "daemon", 3, request), 2, 2));
    assertEquals(1, plan().scaleOuts().size(), "n-1 has room for one more task");
  }

  /**
   * Gangs are scheduled before arrays and need the most evaluations. Dozens of waiting gangs used
   * up the budget of every round, so that no array was scheduled.
   */
  @Test
  void manyWaitingGangsLeaveEvaluationsForArrays() {
    for (int i = 0; i < 600; i++) {
      JobSpec gang =
          spec(
              "wk-1" + i, "group", 2, Map.of("cpus", 14.0, "accelerators", 2.0, "eigandi", "away"));
      machine("n-1" + i, ACCELERATED, i % 2, Set.of(), running(gang, 0, 10));
      JobSpec small = spec("wk-2" + i, "batch", 1, Map.of("cpus", 3.0, "eigandi", "away"));
      machine("n-2" + i, PLAIN, i % 2, Set.of(), running(small, 0, 10));
    }
    for (int i = 0; i < 60; i++) {
      Map<String, Object> request =
          Map.of("cpus", 14.0, "accelerators", 2.0, "forgang", "high", "eigandi", "green");
      job(spec("wk-3" + i, "group", 60 - i, request), true, 130);
    }
    job(spec("wk-4", "batch", 10, Map.of("eigandi", "green")), false);
    Plan plan = plan();
    assertEquals(
        10, placedMachines(plan).size(), "every array task fits on a machine without accelerators");
    assertTrue(plan.evaluations() < 200_000, "evaluations: " + plan.evaluations());
  }

  /** A failed search is skipped for jobs that request at least as much, but not for others. */
  @Test
  void failedSearchDoesNotAffectSmallerOrOtherJobs() {
    Map<String, Object> service = Map.of("cpus", 1.0, "forgang", "production");
    machine("n-1", PLAIN, 0, Set.of(), running(spec("wk-9", "batch", 1, Map.of()), 0, 5));
    job(spec("wk-1", "batch", 1, Map.of("cpus", 4.0)), true);
    job(spec("wk-2", "batch", 1, Map.of("cpus", 4.0)), true);
    job(spec("wk-3", "batch", 1, Map.of("cpus", 3.0)), true);
    assertEquals(List.of("n-1"), placedMachines(plan()), "the smallest request fits");
    jobs.clear();
    machines.clear();
    JobSpec low = spec("wk-9", "batch", 4, Map.of("forgang", "low"));
    machine(
        "n-1",
        PLAIN,
        0,
        Set.of(),
        running(low, 0, 5),
        running(low, 1, 5),
        running(low, 2, 5),
        running(low, 3, 5));
    job(spec("wk-1", "daemon", 3, service), true);
    job(spec("wk-2", "daemon", 1, service), true);
    assertEquals(2, plan().preemptions().size(), "each job may preempt one task on a machine");
    jobs.clear();
    machines.clear();
    Map<String, Object> spread = Map.of("forgang", "production", "scatter", true);
    machine("n-1", PLAIN, 0, Set.of());
    job(spec("wk-1", "daemon", 4, spread), true);
    job(spec("wk-2", "daemon", 2, spread), true);
    assertEquals(3, placedMachines(plan()).size(), "each job is limited by zone, not by room");
  }
}
