package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SubmissionBuilder;

/**
 * A job of low priority in a full fleet, after it has waited for so long that it is served first.
 */
class LateStartTest {
  private static final int LOW_TASKS = 4;

  /**
   * Four machines of each type, zone and kind are no more than the work of normal priority fills.
   */
  private final DependentJobs cluster =
      new DependentJobs(71, 0, new SimCluster.Size(3, 1, 200, 30));

  /**
   * Its first tasks run to their end. Without protection they would be preempted at once by jobs of
   * a higher priority, and the job would take the next free places, again and again.
   */
  @ParameterizedTest(name = "tasks of {0} s")
  @CsvSource({"8", "15"})
  void itsFirstTasksAreNotPreempted(double runS) {
    for (int i = 0; i < 6; i++) {
      cluster.users.submit(job("wk-1" + i, 200, 12, "normal"));
    }
    cluster.run(10);
    SubmissionBuilder low = job("wk-2", LOW_TASKS, runS, "low");
    cluster.users.submit(low);
    JobId id = low.id();
    cluster.run(200);
    int starts = cluster.world.tasks.startsOf(id);
    assertTrue(starts > 0, "it is late, and was not started");
    assertTrue(starts <= 2 * LOW_TASKS, starts + " starts of " + LOW_TASKS + " tasks");
    assertEquals(List.of(), cluster.world.violations());
  }

  private static SubmissionBuilder job(String id, int tasks, double runS, String priority) {
    return DependentJobs.job(id, tasks, runS, List.of())
        .priority(priority)
        .cpus(4.0)
        .spotAllowed(true);
  }
}
