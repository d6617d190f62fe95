package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SubmissionBuilder;

/**
 * A waiting job uses none of its team's limit, keeps waiting under the next leader and never starts
 * too early.
 */
class PipelineWaitingTest {
  private ClusterFixture cluster;

  /** A waiting job leaves its team's whole limit to other jobs, whatever its size. */
  @Test
  void waitingJobUsesNoneOfTheTeamLimit() {
    cluster = new ClusterFixture(361, 0, new SimCluster.Size(3, 4, 24, 30));
    JobId first = cluster.submit("wk-1", 2, 60);
    JobId waitingJob = cluster.submit("wk-2", 12, 5, first);
    SubmissionBuilder gang =
        ClusterFixture.job("wk-3", 2, 5, List.of(first)).kind("group").cpus(4.0);
    cluster.users.submitAfterDependencies(gang);
    cluster.run(20);
    JobId runnableJob = cluster.submit("wk-4", 10, 40);
    cluster.run(25);
    assertEquals(2, cluster.simulation.tasks.runningTasks(first));
    assertEquals(
        10,
        cluster.simulation.tasks.runningTasks(runnableJob),
        "running tasks within the team's limit");
    assertEquals("queued", cluster.users.lastState(waitingJob));
    cluster.run(120);
    cluster.users.expectTimelyAnswers();
    cluster.run(60);
    cluster.assertNoViolations();
    cluster
        .users
        .accepted()
        .forEach(id -> assertEquals("done", cluster.users.lastState(id), id.value()));
  }

  /** The next leader knows which jobs wait, and for which dependencies. */
  @ParameterizedTest(name = "{0}, {1} s after the first was submitted, {2}")
  @CsvSource({
    "chain, 10, leader",
    "chain, 10, all",
    "diamond, 10, leader",
    "diamond, 10, all",
    "chain, 28, leader",
    "chain, 30, all",
    "chain, 31, leader",
    "chain, 32, all",
    "chain, 33, leader",
    "diamond, 31, all",
    "diamond, 36, leader",
    "diamond, 40, all"
  })
  void waitingJobsSurviveFailover(String shape, double at, String crash) {
    for (long seed = 371; seed < 374; seed++) {
      cluster = new ClusterFixture(seed);
      List<JobId> all = cluster.submitPipeline(shape, 15);
      cluster.run(at);
      for (int i = 0; i < 3; i++) {
        if (crash.equals("all") || i == cluster.simulation.leader()) {
          cluster.simulation.controllers.crash(i, 2);
        }
      }
      cluster.run(120);
      cluster.users.expectTimelyAnswers();
      cluster.run(60);
      cluster.assertNoViolations();
      all.forEach(id -> assertEquals("done", cluster.users.lastState(id), id.value()));
    }
  }

  /**
   * Many job ends and the urgent starts that they allow share a few store changes; no start may
   * precede the end that it depends on.
   */
  @ParameterizedTest(name = "seed {0}, late writes {1}")
  @CsvSource({"411, 0", "412, 0", "413, 0.3", "414, 0.3"})
  void concurrentStartsFollowDurableEnds(long seed, double late) {
    cluster = new ClusterFixture(seed, 0, new SimCluster.Size(3, 10, 200, 30));
    cluster.simulation.storeFaults.lowerLimits();
    for (int i = 0; i < 24; i++) {
      JobId first = cluster.submit("wk-1" + String.format("%02d", i), 1, 20);
      SubmissionBuilder body =
          ClusterFixture.job("wk-2" + String.format("%02d", i), 1, 5, List.of(first));
      cluster.users.submitAfterDependencies(body.priority("production"));
    }
    cluster.run(18);
    cluster.simulation.storeFaults.delayWrites(late, 60);
    cluster.run(120);
    cluster.users.expectTimelyAnswers();
    cluster.run(60);
    cluster.assertNoViolations();
    assertEquals(48, cluster.users.accepted().size());
    cluster
        .users
        .accepted()
        .forEach(id -> assertEquals("done", cluster.users.lastState(id), id.value()));
  }
}
