package org.ternhinge.controller;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;

/** Hung machines combined with cancellations and failovers, on virtual time. */
class HungMachinesTest extends CombinedFaultsFixture {
  /**
   * A hung machine executes the commands sent to it when it resumes; cancelled tasks end
   * nevertheless.
   */
  @ParameterizedTest(name = "hung for {0} s, cancelled after {1} s")
  @CsvSource({"2, 0.5", "5, 1", "12, 1", "20, 3", "23, 1", "23, 20", "30, 1", "44, 5", "44, 40"})
  void cancelledTasksEndAfterMachinesHang(double hangS, double afterS) {
    startCluster(111, SimCluster.SMALL);
    JobId cancelled = submit(job("wk-1", "batch", 6, 400));
    JobId service = submit(job("wk-2", "daemon", 3, 0));
    run(60);
    assertRunning(6, cancelled);
    cluster.machineFaults.hangWorkersOf(cancelled, 8, hangS);
    cluster.clock.runFor(afterS);
    users.cancel(cancelled);
    assertNoViolationsAtEnd();
    assertRunning(0, cancelled);
    assertRunning(3, service);
  }

  /** Starts and stops are deferred until the hang ends, during which the leader changes. */
  @ParameterizedTest(name = "seed {0}, hung for {1} s")
  @CsvSource({"121, 3", "122, 8", "123, 15", "124, 22", "125, 30"})
  void cancelledJobWithDeferredStartsEndsAfterFailover(long seed, double hangS) {
    startCluster(seed, SimCluster.SMALL);
    JobId first = submit(job("wk-1", "batch", 6, 300));
    run(60);
    cluster.machineFaults.hangWorkersOf(first, 2, hangS);
    JobId next = submit(job("wk-2", "batch", 4, 20));
    cluster.clock.runFor(0.5);
    cluster.storeFaults.refuse(cluster.leader(), 9);
    cluster.clock.runFor(1);
    users.cancel(next);
    assertNoViolationsAtEnd();
    assertCancelled(next);
  }

  /**
   * The tasks of a job end far apart because one of their machines hangs; the leader changes in
   * between.
   */
  @ParameterizedTest(name = "seed {0}, {1} tasks, hung for {2} s")
  @CsvSource({"211, 2, 12", "212, 3, 20", "213, 2, 35", "214, 3, 50"})
  void jobCompletesWhenTasksEndFarApartOverFailover(long seed, int tasks, double hangS) {
    startCluster(seed, SimCluster.SMALL);
    JobId job = submit(job("wk-1", "batch", tasks, 30).cpus(3.0).spotAllowed(false));
    run(30);
    cluster.machineFaults.hangWorkersOf(job, 1, hangS);
    run(18);
    cluster.controllers.crash(cluster.leader(), 1);
    run(90);
    assertNoViolationsAtEnd();
    assertDone(job);
  }
}
