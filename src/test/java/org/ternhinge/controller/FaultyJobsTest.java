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
 * Faulty jobs, whose tasks fail on every machine, together with healthy jobs and with failing
 * machines, on which every task fails.
 */
class FaultyJobsTest {
  private static final double STORE_WRITES_PER_S = 30;

  private final ClusterFixture cluster =
      ClusterFixture.withoutAnnouncedLimits(83, new SimCluster.Size(3, 4, 400, STORE_WRITES_PER_S));

  private JobId submitFaulty(String id, String kind, int tasks) {
    SubmissionBuilder body = ClusterFixture.job(id, tasks, 20, List.of()).kind(kind);
    JobId job = body.id();
    cluster.simulation.jobs.markFaulty(job);
    cluster.users.submit(body);
    return job;
  }

  /** Submits jobs that keep machines in use and show that they are healthy. */
  private List<JobId> submitHealthy(int jobs) {
    List<JobId> ids = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      ids.add(cluster.submit("wk-5" + i, 12, 6));
    }
    return ids;
  }

  private int startsOf(List<JobId> jobs) {
    return jobs.stream().mapToInt(cluster.simulation.tasks::startsOf).sum();
  }

  /** Failures are attributed to the machine or to the job. */
  @Nested
  class Quarantine {
    /** Failures of a single job don't quarantine a machine, not even two in succession. */
    @ParameterizedTest(name = "{0} faulty jobs, each a {1} of {2}")
    @CsvSource({"1,batch,40", "1,group,6", "5,batch,1", "5,batch,30", "5,group,4"})
    void noHealthyMachineIsQuarantined(int jobs, String kind, int tasks) {
      List<JobId> healthy = submitHealthy(4);
      cluster.run(15);
      for (int i = 0; i < jobs; i++) {
        submitFaulty("wk-9" + i, kind, tasks);
      }
      // Shorter than the time after which idle machines are released.
      cluster.run(30);
      assertEquals(List.of(), cluster.simulation.machines.removed(), "released machines");
      healthy.forEach(id -> assertEquals("done", cluster.users.lastState(id), id.value()));
      cluster.assertNoViolations();
    }

    /** Faulty jobs do not mask failing machines; healthy jobs run on other machines. */
    @ParameterizedTest(name = "{0} failing machines, {1} faulty jobs")
    @CsvSource({"1,0", "1,3", "2,3"})
    void failingMachinesAreQuarantinedAndReleased(int failingCount, int faultyJobs) {
      submitHealthy(6);
      cluster.run(15);
      for (int i = 0; i < faultyJobs; i++) {
        submitFaulty("wk-9" + i, "batch", 20);
      }
      List<SimWorker> failing = cluster.simulation.machines.live().subList(0, failingCount);
      failing.forEach(cluster.simulation.machineFaults::failAllTasksOn);
      List<JobId> healthy = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        healthy.add(cluster.submit("wk-6" + i, 16, 5));
      }
      cluster.run(60);
      healthy.forEach(id -> assertEquals("done", cluster.users.lastState(id), id.value()));
      List<MachineId> removed = cluster.simulation.machines.removed();
      failing.forEach(
          worker -> assertTrue(removed.contains(worker.id()), worker.id() + " is still used"));
      cluster.assertNoViolations();
    }

    /**
     * A healthy array whose first tasks fail on several failing machines looks like a faulty one.
     * It must not back off for as long as its tasks run.
     */
    @ParameterizedTest(name = "{0} failing machines, tasks of {1} s")
    @CsvSource({"3, 100", "5, 100", "5, 30"})
    void healthyArrayBacksOffOnlyBriefly(int failingCount, double runS) {
      submitHealthy(4);
      cluster.run(20);
      cluster
          .simulation
          .machines
          .live()
          .subList(0, failingCount)
          .forEach(cluster.simulation.machineFaults::failAllTasksOn);
      JobId array = cluster.submit("wk-7", 40, runS);
      cluster.run(20);
      assertTrue(cluster.simulation.tasks.startsOf(array) > 0);
      cluster.run(55);
      int begun =
          cluster.simulation.tasks.runningTasks(array)
              + cluster.simulation.jobs.completedTasks(array);
      assertTrue(begun >= 40, begun + " tasks are running or done");
      cluster.assertNoViolations();
    }
  }

  /** Retries of faulty jobs are rate-limited. */
  @Nested
  class BackOff {
    /** All retries together use a bounded share of the key-value store's write rate limit. */
    @Test
    void retryRateIsBounded() {
      List<JobId> faulty = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        faulty.add(submitFaulty(String.format("wk-9%02d", i), "batch", 50));
      }
      cluster.run(60);
      long changes = cluster.simulation.counts.storeChanges();
      int starts = startsOf(faulty);
      cluster.run(120);
      int retries = startsOf(faulty) - starts;
      assertTrue(retries > 0, "no retries");
      assertTrue(retries <= 120 * STORE_WRITES_PER_S * 0.1 / 2 + 2, retries + " retries in 120 s");
      double rate = (cluster.simulation.counts.storeChanges() - changes) / 120.0;
      assertTrue(rate <= STORE_WRITES_PER_S * 0.2, rate + " changes per second");
      cluster.assertNoViolations();
    }

    /** The next leader continues the back-off of the previous one. */
    @Test
    void failoverCausesNoBurstOfRetries() {
      List<JobId> faulty = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        faulty.add(submitFaulty("wk-9" + i, "batch", 60));
      }
      cluster.run(90);
      int starts = startsOf(faulty);
      cluster.simulation.controllers.crash(cluster.simulation.leader(), 5);
      cluster.run(30);
      int retries = startsOf(faulty) - starts;
      assertTrue(retries <= 2 * faulty.size(), retries + " starts after the failover");
      cluster.assertNoViolations();
    }

    /** A job can be cancelled during its back-off. */
    @ParameterizedTest(name = "after {0} s")
    @CsvSource({"20", "60", "100"})
    void faultyJobCanBeCancelledDuringBackOff(double seconds) {
      JobId faulty = submitFaulty("wk-9", "batch", 40);
      cluster.run(seconds);
      cluster.users.cancel(faulty);
      cluster.run(6);
      assertEquals("cancelled", cluster.users.lastState(faulty));
      int starts = cluster.simulation.tasks.startsOf(faulty);
      cluster.run(120);
      assertEquals(
          starts, cluster.simulation.tasks.startsOf(faulty), "starts after the cancellation");
      cluster.assertNoViolations();
    }
  }
}
