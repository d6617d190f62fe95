package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SubmissionBuilder;

/** A low-priority job in a full fleet that has waited for so long that it is scheduled first. */
class AgedJobProtectionTest {
  private static final int LOW_TASKS = 4;

  /** One machine of each type, zone and kind: a fleet that the jobs of normal priority fill. */
  private final ClusterFixture cluster =
      new ClusterFixture(71, 0, new SimCluster.Size(3, 1, 200, 30));

  /**
   * Its first tasks run to completion. Without protection, jobs of higher priority would preempt
   * them at once, and the job would be scheduled first again, in an endless cycle.
   */
  @ParameterizedTest(name = "tasks of {0} s")
  @CsvSource({"8", "15"})
  void firstTasksOfAgedJobAreNotPreempted(double runS) {
    for (int i = 0; i < 6; i++) {
      cluster.users.submit(job("wk-1" + i, 200, 12, "normal"));
    }
    cluster.run(10);
    SubmissionBuilder low = job("wk-2", LOW_TASKS, runS, "low");
    cluster.users.submit(low);
    JobId id = low.id();
    cluster.run(200);
    int starts = cluster.simulation.tasks.startsOf(id);
    assertTrue(starts > 0, "the aged job was not started");
    assertTrue(starts <= 2 * LOW_TASKS, starts + " starts of " + LOW_TASKS + " tasks");
    assertEquals(List.of(), cluster.simulation.violations());
  }

  private static SubmissionBuilder job(String id, int tasks, double runS, String priority) {
    return ClusterFixture.job(id, tasks, runS, List.of())
        .priority(priority)
        .cpus(4.0)
        .spotAllowed(true);
  }
}
