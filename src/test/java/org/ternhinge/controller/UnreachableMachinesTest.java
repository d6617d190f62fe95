package org.ternhinge.controller;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimWorker;

/** Machines whose links lose messages in one or both directions, over changes of leader. */
class UnreachableMachinesTest extends CombinedFaultsFixture {
  /**
   * A heartbeat of an earlier epoch reaches a leader that has never had a heartbeat of the machine.
   */
  @ParameterizedTest(name = "delayed by {0} s")
  @CsvSource({"9", "15", "25", "40"})
  void aLateHeartbeatOfAnEarlierEpochAtANewLeader(double delayS) {
    begin(131, SimCluster.SMALL);
    JobId stays = submit(job("wk-1", "daemon", 4, 0));
    run(60);
    for (SimWorker worker : cluster.machines.running(stays)) {
      cluster.machineFaults.delayHeartbeat(worker.id(), delayS);
    }
    cluster.clock.runFor(4);
    cluster.machineFaults.isolateWorkerOf(stays, 35);
    cluster.storeFaults.refuse(cluster.leader(), 9);
    run(60);
    assertRulesHoldToTheEnd();
    assertRunning(4, stays);
  }

  /** Heartbeats are lost while commands arrive; a cancelled task must not live on. */
  @ParameterizedTest(name = "lost heartbeats {0} s, cancelled after {1} s, leader crashes: {2}")
  @CsvSource({
    "20, 1, false",
    "40, 1, false",
    "60, 20, false",
    "90, 23, false",
    "40, 10, true",
    "90, 20, true"
  })
  void aCancellationWhileHeartbeatsAreLost(double lostS, double afterS, boolean crash) {
    begin(161, SimCluster.SMALL);
    JobId cancelled = submit(job("wk-1", "batch", 6, 400));
    JobId stays = submit(job("wk-2", "daemon", 3, 0));
    run(60);
    cluster.machineFaults.dropHeartbeatsOf(cancelled, lostS);
    cluster.clock.runFor(afterS);
    if (crash) {
      cluster.controllers.crash(cluster.leader(), 2);
    }
    users.cancel(cancelled);
    run(lostS);
    assertRulesHoldToTheEnd();
    assertRunning(0, cancelled);
    assertRunning(3, stays);
  }

  /** A leader crashes while machines with long tasks can't be reached. */
  @ParameterizedTest(name = "{0} for {1} s, leader away for {2} s")
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
  void aLeaderCrashesWhileMachinesAreUnreachable(String fault, double seconds, double awayS) {
    begin(231, SimCluster.SMALL);
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
    cluster.controllers.crash(cluster.leader(), awayS);
    cluster.clock.schedule(9, () -> users.cancel(cancelled));
    run(240);
    assertRulesHoldToTheEnd();
    assertDone(job);
    assertCancelled(cancelled);
  }
}
