package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimWorker;

/**
 * Jobs that were submitted with a mistake, and so fail on every machine, beside others and beside
 * machines on which every task fails.
 */
class FaultyJobsTest {
  private static final double WRITES = 30;

  private final DependentJobs cluster =
      DependentJobs.withoutComingLimits(83, new SimCluster.Size(3, 4, 400, WRITES));

  private JobId submitFaulty(String id, String kind, int tasks) {
    ObjectNode body = DependentJobs.job(id, tasks, 20, List.of()).put("gerd", kind);
    JobId job = DependentJobs.idOf(body);
    cluster.world.failsEverywhere(job);
    cluster.users.submit(body);
    return job;
  }

  /** Some work that keeps machines up and shows that they are well. */
  private List<JobId> submitHealthy(int jobs) {
    List<JobId> ids = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      ids.add(cluster.submit("wk-5" + i, 12, 6));
    }
    return ids;
  }

  /**
   * Without evidence across jobs, two failures in a row on a machine had it quarantined and
   * returned, even where one job's tasks failed on every machine.
   */
  @ParameterizedTest(name = "{0} faulty jobs, each a {1} of {2}")
  @CsvSource({"1,batch,40", "1,group,6", "5,batch,1", "5,batch,30", "5,group,4"})
  void quarantineNoHealthyMachine(int jobs, String kind, int tasks) {
    List<JobId> healthy = submitHealthy(4);
    cluster.run(15);
    for (int i = 0; i < jobs; i++) {
      submitFaulty("wk-9" + i, kind, tasks);
    }
    // Less than the time after which idle machines are returned.
    cluster.run(30);
    assertEquals(List.of(), cluster.world.goneMachines(), "machines that were returned");
    healthy.forEach(id -> assertEquals("done", cluster.users.lastTold(id), id.value()));
    cluster.nothingBroken();
  }

  /** Beside faulty jobs sick machines are still found, and jobs in order go on elsewhere. */
  @ParameterizedTest(name = "{0} sick machines, {1} faulty jobs")
  @CsvSource({"1,0", "1,3", "2,3"})
  void sickMachinesAreFound(int sickCount, int faultyJobs) {
    submitHealthy(6);
    cluster.run(15);
    for (int i = 0; i < faultyJobs; i++) {
      submitFaulty("wk-9" + i, "batch", 20);
    }
    List<SimWorker> sick = cluster.world.liveWorkers().subList(0, sickCount);
    sick.forEach(cluster.world.machineFaults::makeSick);
    List<JobId> healthy = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      healthy.add(cluster.submit("wk-6" + i, 16, 5));
    }
    cluster.run(60);
    healthy.forEach(id -> assertEquals("done", cluster.users.lastTold(id), id.value()));
    List<MachineId> gone = cluster.world.goneMachines();
    sick.forEach(worker -> assertTrue(gone.contains(worker.id()), worker.id() + " is still used"));
    cluster.nothingBroken();
  }

  /**
   * A healthy array that meets several sick machines before a task of it is done looks as one that
   * fails everywhere. It is not held back for as long as its tasks run.
   */
  @ParameterizedTest(name = "{0} sick machines, tasks of {1} s")
  @CsvSource({"3, 100", "5, 100", "5, 30"})
  void aHealthyArrayIsNotHeldBack(int sickCount, double runsS) {
    submitHealthy(4);
    cluster.run(20);
    cluster
        .world
        .liveWorkers()
        .subList(0, sickCount)
        .forEach(cluster.world.machineFaults::makeSick);
    JobId array = cluster.submit("wk-7", 40, runsS);
    cluster.run(20);
    assertTrue(cluster.world.tasks.startsOf(array) > 0);
    cluster.run(55);
    int begun = cluster.world.tasks.runningTasks(array) + cluster.world.completedTasks(array);
    assertTrue(begun >= 40, begun + " tasks run or are done");
    cluster.nothingBroken();
  }

  /** All retries together cost a bounded part of the key-value store's changes. */
  @Test
  void retriesHaveABoundedRate() {
    List<JobId> faulty = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      faulty.add(submitFaulty(String.format("wk-9%02d", i), "batch", 50));
    }
    cluster.run(60);
    long changes = cluster.world.counts.stateChanges();
    int starts = startsOf(faulty);
    cluster.run(120);
    int retries = startsOf(faulty) - starts;
    assertTrue(retries > 0, "none was tried again");
    assertTrue(retries <= 120 * WRITES * 0.1 / 2 + 2, retries + " retries in 120 s");
    double rate = (cluster.world.counts.stateChanges() - changes) / 120.0;
    assertTrue(rate <= WRITES * 0.2, rate + " changes a second");
    cluster.nothingBroken();
  }

  /** The next leader goes on with the back-off where the last one was. */
  @Test
  void aChangeOfLeaderBringsNoStormOfRetries() {
    List<JobId> faulty = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      faulty.add(submitFaulty("wk-9" + i, "batch", 60));
    }
    cluster.run(90);
    int starts = startsOf(faulty);
    cluster.world.crash(cluster.world.leader(), 5);
    cluster.run(30);
    int retries = startsOf(faulty) - starts;
    assertTrue(retries <= 2 * faulty.size(), retries + " starts after the change of leader");
    cluster.nothingBroken();
  }

  /** A job that backs off is cancelled like any other. */
  @ParameterizedTest(name = "after {0} s")
  @CsvSource({"20", "60", "100"})
  void isCancelledWhileItBacksOff(double seconds) {
    JobId faulty = submitFaulty("wk-9", "batch", 40);
    cluster.run(seconds);
    cluster.users.cancel(faulty);
    cluster.run(6);
    assertEquals("cancelled", cluster.users.lastTold(faulty));
    int starts = cluster.world.tasks.startsOf(faulty);
    cluster.run(120);
    assertEquals(starts, cluster.world.tasks.startsOf(faulty), "starts after the cancellation");
    cluster.nothingBroken();
  }

  private int startsOf(List<JobId> jobs) {
    return jobs.stream().mapToInt(cluster.world.tasks::startsOf).sum();
  }
}
