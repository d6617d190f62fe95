package org.ternhinge.controller;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;

/** Machines that hang, with cancellations and changes of leader, on virtual time. */
class HungMachinesTest extends CombinedFaultsFixture {
  /** What was sent to a hung machine is executed when it resumes. */
  @ParameterizedTest(name = "hung for {0} s, cancelled after {1} s")
  @CsvSource({"2, 0.5", "5, 1", "12, 1", "20, 3", "23, 1", "23, 20", "30, 1", "44, 5", "44, 40"})
  void cancelledWhileItsMachinesHang(double hangS, double afterS) {
    begin(111, SimCluster.SMALL);
    JobId cancelled = submit(job("wk-1", "batch", 6, 400));
    JobId stays = submit(job("wk-2", "daemon", 3, 0));
    run(60);
    assertRunning(6, cancelled);
    cluster.machineFaults.hangWorkersOf(cancelled, 8, hangS);
    cluster.clock.runFor(afterS);
    users.cancel(cancelled);
    assertRulesHoldToTheEnd();
    assertRunning(0, cancelled);
    assertRunning(3, stays);
  }

  /** Starts and stops wait for the end of a hang, over a change of leader. */
  @ParameterizedTest(name = "seed {0}, hung for {1} s")
  @CsvSource({"121, 3", "122, 8", "123, 15", "124, 22", "125, 30"})
  void startsDeferredByAHangOverAChangeOfLeader(long seed, double hangS) {
    begin(seed, SimCluster.SMALL);
    JobId first = submit(job("wk-1", "batch", 6, 300));
    run(60);
    cluster.machineFaults.hangWorkersOf(first, 2, hangS);
    JobId next = submit(job("wk-2", "batch", 4, 20));
    cluster.clock.runFor(0.5);
    cluster.storeFaults.refuse(cluster.leader(), 9);
    cluster.clock.runFor(1);
    users.cancel(next);
    assertRulesHoldToTheEnd();
    assertCancelled(next);
  }

  /** Jobs of a few tasks end far apart, since one of their machines hangs, over a new leader. */
  @ParameterizedTest(name = "seed {0}, {1} tasks, hung for {2} s")
  @CsvSource({"211, 2, 12", "212, 3, 20", "213, 2, 35", "214, 3, 50"})
  void tasksThatEndFarApartOverAChangeOfLeader(long seed, int tasks, double hangS) {
    begin(seed, SimCluster.SMALL);
    JobId job = submit(job("wk-1", "batch", tasks, 30).cpus(3.0).spotAllowed(false));
    run(30);
    cluster.machineFaults.hangWorkersOf(job, 1, hangS);
    run(18);
    cluster.controllers.crash(cluster.leader(), 1);
    run(90);
    assertRulesHoldToTheEnd();
    assertDone(job);
  }
}
