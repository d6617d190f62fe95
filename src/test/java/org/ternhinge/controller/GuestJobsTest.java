package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SubmissionBuilder;

/** Jobs of low priority of a team beyond its guarantee, beside jobs of other teams. */
class GuestJobsTest {
  private static final double WRITES = 30;

  private final DependentJobs cluster =
      DependentJobs.withoutAnnouncedLimits(37, new SimCluster.Size(3, 2, 2000, WRITES));

  private JobId submit(String id, int tasks, double cpus, double runS, String priority) {
    SubmissionBuilder body =
        DependentJobs.job(id, tasks, runS, List.of())
            .cpus(cpus)
            .priority(priority)
            .spotAllowed(true);
    cluster.users.submit(body);
    return body.id();
  }

  /** Many tiny jobs delay no job within its team's guarantee. */
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
    assertTrue(cluster.world.tasks.firstStartOf(urgent).isPresent(), "it has not begun");
    cluster.run(200);
    for (int i = 0; i < tiny; i++) {
      assertEquals("done", cluster.users.lastState(new JobId(String.format("wk-3%03d", i))));
    }
    cluster.assertNoRuleBroken();
  }

  /** The work for one short task of a long array is bounded. */
  @ParameterizedTest(name = "{0} tasks of {1} s")
  @CsvSource({"2000, 2", "4000, 4"})
  void theWorkForAShortTaskIsBounded(int tasks, double runS) {
    submit("wk-0", 40, 2, 20, "normal");
    cluster.run(25);
    long changes = cluster.world.counts.storeChanges();
    long commands = cluster.world.counts.commandCalls();
    long heartbeats = cluster.world.counts.heartbeats();
    JobId low = submit("wk-5", tasks, 0.25, runS, "low");
    double start = cluster.world.clock.seconds();
    while (cluster.world.jobs.completedTasks(low) < tasks && cluster.world.clock.seconds() < 400) {
      cluster.run(3);
    }
    double seconds = cluster.world.clock.seconds() - start;
    assertEquals(tasks, cluster.world.jobs.completedTasks(low));
    double changesEach = (cluster.world.counts.storeChanges() - changes) / (double) tasks;
    double commandsEach = (cluster.world.counts.commandCalls() - commands) / (double) tasks;
    double heartbeatsEach = (cluster.world.counts.heartbeats() - heartbeats) / (double) tasks;
    String cost =
        String.format(
            "a task costs %.3f changes, %.3f direct messages, %.3f heartbeats; %.0f s for %d",
            changesEach, commandsEach, heartbeatsEach, seconds, tasks);
    assertTrue(changesEach < 0.4, cost);
    assertTrue(commandsEach < 1, cost);
    assertTrue(heartbeatsEach < 2, cost);
    cluster.assertNoRuleBroken();
  }
}
