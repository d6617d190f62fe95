package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SubmissionBuilder;

/** Ends and cancellations of jobs while writes or messages are late, on virtual time. */
class JobEndAndLateMessagesTest extends CombinedFaultsFixture {
  /** Cancellations, polls and repeats at the very end of a job, without other faults. */
  @Test
  void aCancellationAtTheEndOfTheLastTask() {
    begin(191, SimCluster.SMALL);
    users.cancelAtCompletion(1);
    List<JobId> jobs = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      jobs.add(submit(job("wk-1" + String.format("%02d", i), "batch", 1 + i % 3, 5)));
      run(3);
    }
    run(60);
    assertRulesHoldToTheEnd();
    for (JobId id : jobs) {
      assertOver(id);
    }
  }

  /** A transaction without an answer is applied after newer ones of the same controller. */
  @ParameterizedTest(name = "seed {0}, share {1}")
  @CsvSource({"241, 0.2", "242, 0.4", "243, 0.6", "244, 0.4"})
  void lateWritesWhileJobsEndAndAreCancelled(long seed, double share) {
    begin(seed, SimCluster.SMALL);
    users.cancelAtCompletion(0.3);
    cluster.storeFaults.delayWrites(share, 90);
    List<JobId> jobs = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      jobs.add(submit(job("wk-1" + String.format("%02d", i), "batch", 1 + i % 4, 6)));
      run(4);
      if (i % 5 == 4) {
        users.cancel(jobs.get(i - 1));
      }
      if (i == 12) {
        cluster.controllers.crash(cluster.leader(), 1);
      }
    }
    run(60);
    assertRulesHoldToTheEnd();
    for (JobId id : jobs) {
      assertOver(id);
    }
  }

  /**
   * More tasks than room, urgent and not, while each message takes long: late stops free room for
   * late starts, and some jobs are cancelled meanwhile. With even slower links, calls of the
   * key-value store time out and nobody leads.
   */
  @ParameterizedTest(name = "seed {0}, {1} s each way")
  @CsvSource({"141, 0.1", "142, 0.3", "143, 0.5", "144, 0.8"})
  void preemptionOverSlowLinks(long seed, double slowS) {
    begin(seed, SimCluster.SMALL);
    List<JobId> lesser = new ArrayList<>();
    List<JobId> urgent = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      SubmissionBuilder array = SubmissionBuilder.job("wk-1" + i, "batch", 20).cpus(2.0);
      users.submit(array.priority("low").runsFor(12.0));
      lesser.add(new JobId("wk-1" + i));
    }
    run(30);
    cluster.networkFaults.slowLinks(slowS);
    for (int i = 0; i < 4; i++) {
      SubmissionBuilder array =
          SubmissionBuilder.job("wk-2" + i, "batch", 8).cpus(2.0).runsFor(8.0);
      users.submit(array.priority("high").team("blue"));
      urgent.add(new JobId("wk-2" + i));
      SubmissionBuilder service =
          SubmissionBuilder.job("wk-3" + i, "daemon", 2).priority("production");
      users.submit(service.scatter(true).spotAllowed(false));
      run(6);
      users.cancel(i % 2 == 0 ? lesser.get(i) : new JobId("wk-3" + (i - 1)));
    }
    run(100);
    for (JobId id : urgent) {
      assertTrue(
          cluster.tasks.firstStartOf(id).isPresent(), id + " has not begun beside lesser work");
    }
    cluster.networkFaults.slowLinks(0);
    users.cancel(new JobId("wk-31"));
    users.cancel(new JobId("wk-33"));
    assertRulesHoldToTheEnd();
  }
}
