package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SubmissionBuilder;

/** Low-priority jobs that run beyond their team's guarantee. */
class LowPriorityJobsTest {
  private static final double STORE_WRITES_PER_S = 30;

  private final ClusterFixture cluster =
      ClusterFixture.withoutAnnouncedLimits(
          37, new SimCluster.Size(3, 2, 2000, STORE_WRITES_PER_S));

  private JobId submit(String id, int tasks, double cpus, double runS, String priority) {
    SubmissionBuilder body =
        ClusterFixture.job(id, tasks, runS, List.of())
            .cpus(cpus)
            .priority(priority)
            .spotAllowed(true);
    cluster.users.submit(body);
    return body.id();
  }

  /** Many tiny jobs don't delay a job within its team's guarantee. */
  @ParameterizedTest(name = "{0} tiny jobs")
  @CsvSource({"100", "300"})
  void manyTinyJobsDelayNoGuaranteedJob(int tiny) {
    submit("wk-0", 4, 2, 10, "normal");
    cluster.run(25);
    for (int i = 0; i < tiny; i++) {
      submit(String.format("wk-3%03d", i), 1, 1, 2, "low");
    }
    cluster.run(1);
    JobId urgent = submit("wk-4", 2, 2, 5, "high");
    cluster.run(9);
    assertTrue(
        cluster.simulation.tasks.firstStartOf(urgent).isPresent(),
        "the urgent job has not started");
    cluster.run(200);
    for (int i = 0; i < tiny; i++) {
      assertEquals("done", cluster.users.lastState(new JobId(String.format("wk-3%03d", i))));
    }
    cluster.assertNoViolations();
  }

  /** The number of changes, commands and heartbeats per short task of a long array is bounded. */
  @ParameterizedTest(name = "{0} tasks of {1} s")
  @CsvSource({"2000, 2", "4000, 4"})
  void workPerShortTaskIsBounded(int tasks, double runS) {
    submit("wk-0", 40, 2, 20, "normal");
    cluster.run(25);
    long changes = cluster.simulation.counts.storeChanges();
    long commands = cluster.simulation.counts.commandCalls();
    long heartbeats = cluster.simulation.counts.heartbeats();
    JobId low = submit("wk-5", tasks, 0.25, runS, "low");
    double start = cluster.simulation.clock.seconds();
    while (cluster.simulation.jobs.completedTasks(low) < tasks
        && cluster.simulation.clock.seconds() < 400) {
      cluster.run(3);
    }
    double seconds = cluster.simulation.clock.seconds() - start;
    assertEquals(tasks, cluster.simulation.jobs.completedTasks(low));
    double changesEach = (cluster.simulation.counts.storeChanges() - changes) / (double) tasks;
    double commandsEach = (cluster.simulation.counts.commandCalls() - commands) / (double) tasks;
    double heartbeatsEach = (cluster.simulation.counts.heartbeats() - heartbeats) / (double) tasks;
    String cost =
        String.format(
            "per task: %.3f changes, %.3f direct commands, %.3f heartbeats; %.0f s for %d tasks",
            changesEach, commandsEach, heartbeatsEach, seconds, tasks);
    assertTrue(changesEach < 0.4, cost);
    assertTrue(commandsEach < 1, cost);
    assertTrue(heartbeatsEach < 2, cost);
    cluster.assertNoViolations();
  }
}
