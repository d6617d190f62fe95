package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimWorker;
import org.ternhinge.sim.SubmissionBuilder;

/**
 * Jobs that were submitted with a mistake, and so fail on every machine, beside healthy jobs and
 * beside machines on which every task fails.
 */
class FaultyJobsTest {
  private static final double WRITES = 30;

  private final DependentJobs cluster =
      DependentJobs.withoutAnnouncedLimits(83, new SimCluster.Size(3, 4, 400, WRITES));

  private JobId submitFaulty(String id, String kind, int tasks) {
    SubmissionBuilder body = DependentJobs.job(id, tasks, 20, List.of()).kind(kind);
    JobId job = body.id();
    cluster.world.jobs.markFaulty(job);
    cluster.users.submit(body);
    return job;
  }

  /** Submits jobs that keep machines up and prove them healthy. */
  private List<JobId> submitHealthy(int jobs) {
    List<JobId> ids = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      ids.add(cluster.submit("wk-5" + i, 12, 6));
    }
    return ids;
  }

  private int startsOf(List<JobId> jobs) {
    return jobs.stream().mapToInt(cluster.world.tasks::startsOf).sum();
  }

  /** Failures count as evidence against a machine or against a job. */
  @Nested
  class Quarantine {
    /** Failures of one job alone are no evidence against a machine, even two in a row. */
    @ParameterizedTest(name = "{0} faulty jobs, each a {1} of {2}")
    @CsvSource({"1,batch,40", "1,group,6", "5,batch,1", "5,batch,30", "5,group,4"})
    void noHealthyMachineIsQuarantined(int jobs, String kind, int tasks) {
      List<JobId> healthy = submitHealthy(4);
      cluster.run(15);
      for (int i = 0; i < jobs; i++) {
        submitFaulty("wk-9" + i, kind, tasks);
      }
      // Less than the time after which idle machines are released.
      cluster.run(30);
      assertEquals(List.of(), cluster.world.machines.removed(), "machines that were released");
      healthy.forEach(id -> assertEquals("done", cluster.users.lastState(id), id.value()));
      cluster.assertNoRuleBroken();
    }

    /** Faulty jobs do not hide failing machines; healthy jobs go on elsewhere. */
    @ParameterizedTest(name = "{0} failing machines, {1} faulty jobs")
    @CsvSource({"1,0", "1,3", "2,3"})
    void failingMachinesAreQuarantinedAndReleased(int failingCount, int faultyJobs) {
      submitHealthy(6);
      cluster.run(15);
      for (int i = 0; i < faultyJobs; i++) {
        submitFaulty("wk-9" + i, "batch", 20);
      }
      List<SimWorker> failing = cluster.world.machines.live().subList(0, failingCount);
      failing.forEach(cluster.world.machineFaults::failAllTasksOn);
      List<JobId> healthy = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        healthy.add(cluster.submit("wk-6" + i, 16, 5));
      }
      cluster.run(60);
      healthy.forEach(id -> assertEquals("done", cluster.users.lastState(id), id.value()));
      List<MachineId> removed = cluster.world.machines.removed();
      failing.forEach(
          worker -> assertTrue(removed.contains(worker.id()), worker.id() + " is still used"));
      cluster.assertNoRuleBroken();
    }

    /**
     * A healthy array that meets several failing machines before its first task is done resembles a
     * faulty one. It must not back off for as long as its tasks run.
     */
    @ParameterizedTest(name = "{0} failing machines, tasks of {1} s")
    @CsvSource({"3, 100", "5, 100", "5, 30"})
    void aHealthyArrayDoesNotBackOffForLong(int failingCount, double runS) {
      submitHealthy(4);
      cluster.run(20);
      cluster
          .world
          .machines
          .live()
          .subList(0, failingCount)
          .forEach(cluster.world.machineFaults::failAllTasksOn);
      JobId array = cluster.submit("wk-7", 40, runS);
      cluster.run(20);
      assertTrue(cluster.world.tasks.startsOf(array) > 0);
      cluster.run(55);
      int begun =
          cluster.world.tasks.runningTasks(array) + cluster.world.jobs.completedTasks(array);
      assertTrue(begun >= 40, begun + " tasks run or are done");
      cluster.assertNoRuleBroken();
    }
  }

  /** Retries of faulty jobs are paced. */
  @Nested
  class BackOff {
    /** All retries together use a bounded part of the limit on changes of the key-value store. */
    @Test
    void retriesHaveABoundedRate() {
      List<JobId> faulty = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        faulty.add(submitFaulty(String.format("wk-9%02d", i), "batch", 50));
      }
      cluster.run(60);
      long changes = cluster.world.counts.storeChanges();
      int starts = startsOf(faulty);
      cluster.run(120);
      int retries = startsOf(faulty) - starts;
      assertTrue(retries > 0, "no retry");
      assertTrue(retries <= 120 * WRITES * 0.1 / 2 + 2, retries + " retries in 120 s");
      double rate = (cluster.world.counts.storeChanges() - changes) / 120.0;
      assertTrue(rate <= WRITES * 0.2, rate + " changes a second");
      cluster.assertNoRuleBroken();
    }

    /** The next leader continues the back-off of the last one. */
    @Test
    void aFailoverCausesNoBurstOfRetries() {
      List<JobId> faulty = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        faulty.add(submitFaulty("wk-9" + i, "batch", 60));
      }
      cluster.run(90);
      int starts = startsOf(faulty);
      cluster.world.controllers.crash(cluster.world.leader(), 5);
      cluster.run(30);
      int retries = startsOf(faulty) - starts;
      assertTrue(retries <= 2 * faulty.size(), retries + " starts after the change of leader");
      cluster.assertNoRuleBroken();
    }

    /** A job is cancelled during its back-off like any other. */
    @ParameterizedTest(name = "after {0} s")
    @CsvSource({"20", "60", "100"})
    void aFaultyJobIsCancelledDuringItsBackOff(double seconds) {
      JobId faulty = submitFaulty("wk-9", "batch", 40);
      cluster.run(seconds);
      cluster.users.cancel(faulty);
      cluster.run(6);
      assertEquals("cancelled", cluster.users.lastState(faulty));
      int starts = cluster.world.tasks.startsOf(faulty);
      cluster.run(120);
      assertEquals(starts, cluster.world.tasks.startsOf(faulty), "starts after the cancellation");
      cluster.assertNoRuleBroken();
    }
  }
}
