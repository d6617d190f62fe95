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

/** Jobs end or are cancelled while writes or messages are delayed, on virtual time. */
class JobEndAndLateMessagesTest extends CombinedFaultsFixture {
  /**
   * Cancellations, polls and repeated submissions race with the end of a job, without other faults.
   */
  @Test
  void cancellationRacingWithLastTaskEndsJob() {
    startCluster(191, SimCluster.SMALL);
    users.cancelAtCompletion(1);
    List<JobId> jobs = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      jobs.add(submit(job("wk-1" + String.format("%02d", i), "batch", 1 + i % 3, 5)));
      run(3);
    }
    run(60);
    assertNoViolationsAtEnd();
    for (JobId id : jobs) {
      assertEnded(id);
    }
  }

  /** An unanswered transaction is applied after newer transactions of the same controller. */
  @ParameterizedTest(name = "seed {0}, share {1}")
  @CsvSource({"241, 0.2", "242, 0.4", "243, 0.6", "244, 0.4"})
  void jobsEndDespiteLateWrites(long seed, double share) {
    startCluster(seed, SimCluster.SMALL);
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
    assertNoViolationsAtEnd();
    for (JobId id : jobs) {
      assertEnded(id);
    }
  }

  /**
   * Urgent and low-priority tasks exceed the capacity while every message is slow: delayed stops
   * make room for delayed starts, and some jobs are cancelled meanwhile. With even slower links,
   * calls to the key-value store time out and no node leads.
   */
  @ParameterizedTest(name = "seed {0}, {1} s each way")
  @CsvSource({"141, 0.1", "142, 0.3", "143, 0.5", "144, 0.8"})
  void urgentJobsStartOverSlowLinks(long seed, double latencyS) {
    startCluster(seed, SimCluster.SMALL);
    List<JobId> lowPriorityJobs = new ArrayList<>();
    List<JobId> urgentJobs = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      SubmissionBuilder array = SubmissionBuilder.job("wk-1" + i, "batch", 20).cpus(2.0);
      users.submit(array.priority("low").runsFor(12.0));
      lowPriorityJobs.add(new JobId("wk-1" + i));
    }
    run(30);
    cluster.networkFaults.slowLinks(latencyS);
    for (int i = 0; i < 4; i++) {
      SubmissionBuilder array =
          SubmissionBuilder.job("wk-2" + i, "batch", 8).cpus(2.0).runsFor(8.0);
      users.submit(array.priority("high").team("blue"));
      urgentJobs.add(new JobId("wk-2" + i));
      SubmissionBuilder service =
          SubmissionBuilder.job("wk-3" + i, "daemon", 2).priority("production");
      users.submit(service.scatter(true).spotAllowed(false));
      run(6);
      users.cancel(i % 2 == 0 ? lowPriorityJobs.get(i) : new JobId("wk-3" + (i - 1)));
    }
    run(100);
    for (JobId id : urgentJobs) {
      assertTrue(
          cluster.tasks.firstStartOf(id).isPresent(), id + " has not started despite its priority");
    }
    cluster.networkFaults.slowLinks(0);
    users.cancel(new JobId("wk-31"));
    users.cancel(new JobId("wk-33"));
    assertNoViolationsAtEnd();
  }
}
