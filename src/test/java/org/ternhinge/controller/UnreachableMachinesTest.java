package org.ternhinge.controller;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimWorker;

/** Machines whose links lose messages in one or both directions, combined with failovers. */
class UnreachableMachinesTest extends CombinedFaultsFixture {
  /**
   * A heartbeat of an earlier epoch reaches a new leader that has received no heartbeat of the
   * machine.
   */
  @ParameterizedTest(name = "delayed by {0} s")
  @CsvSource({"9", "15", "25", "40"})
  void newLeaderToleratesHeartbeatOfEarlierEpoch(double delayS) {
    startCluster(131, SimCluster.SMALL);
    JobId service = submit(job("wk-1", "daemon", 4, 0));
    run(60);
    for (SimWorker worker : cluster.machines.running(service)) {
      cluster.machineFaults.delayHeartbeat(worker.id(), delayS);
    }
    cluster.clock.runFor(4);
    cluster.machineFaults.isolateWorkerOf(service, 35);
    cluster.storeFaults.refuse(cluster.leader(), 9);
    run(60);
    assertNoViolationsAtEnd();
    assertRunning(4, service);
  }

  /** Heartbeats are lost while commands arrive; cancelled tasks must not keep running. */
  @ParameterizedTest(name = "lost heartbeats {0} s, cancelled after {1} s, leader crashes: {2}")
  @CsvSource({
    "20, 1, false",
    "40, 1, false",
    "60, 20, false",
    "90, 23, false",
    "40, 10, true",
    "90, 20, true"
  })
  void cancelledTasksEndWhileHeartbeatsAreLost(double lostS, double afterS, boolean crash) {
    startCluster(161, SimCluster.SMALL);
    JobId cancelled = submit(job("wk-1", "batch", 6, 400));
    JobId service = submit(job("wk-2", "daemon", 3, 0));
    run(60);
    cluster.machineFaults.dropHeartbeatsOf(cancelled, lostS);
    cluster.clock.runFor(afterS);
    if (crash) {
      cluster.controllers.crash(cluster.leader(), 2);
    }
    users.cancel(cancelled);
    run(lostS);
    assertNoViolationsAtEnd();
    assertRunning(0, cancelled);
    assertRunning(3, service);
  }

  /** The leader crashes while machines with long tasks are unreachable. */
  @ParameterizedTest(name = "{0} for {1} s, leader down for {2} s")
  @CsvSource({
    "cut, 10, 3",
    "cut, 40, 3",
    "cut, 40, 30",
    "lost heartbeats, 15, 3",
    "lost heartbeats, 40, 3",
    "hung, 15, 3",
    "hung, 22, 3",
    "hung, 40, 30"
  })
  void jobsEndAfterLeaderCrashWithUnreachableMachines(String fault, double seconds, double downS) {
    startCluster(231, SimCluster.SMALL);
    JobId job = submit(job("wk-1", "batch", 6, 120));
    JobId cancelled = submit(job("wk-2", "batch", 4, 400));
    run(40);
    for (JobId id : List.of(job, cancelled)) {
      switch (fault) {
        case "cut" -> cluster.machineFaults.isolateWorkerOf(id, seconds);
        case "lost heartbeats" -> cluster.machineFaults.dropHeartbeatsOf(id, seconds);
        default -> cluster.machineFaults.hangWorkersOf(id, 2, seconds);
      }
    }
    cluster.controllers.crash(cluster.leader(), downS);
    cluster.clock.schedule(9, () -> users.cancel(cancelled));
    run(240);
    assertNoViolationsAtEnd();
    assertDone(job);
    assertCancelled(cancelled);
  }
}
