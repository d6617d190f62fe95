package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;

/** Cancellations just before an outage of the key-value store or of all controllers. */
class CancellationAndOutageTest extends CombinedFaultsFixture {
  /**
   * A refusal of the leader alone that lasts longer than this has elected another one, in seconds.
   */
  private static final double LONGEST_ELECTION_S = 7;

  /**
   * The key-value store refuses the leader alone; another takes over and confirms cancellations;
   * then the store refuses all nodes for longer than a cancelled task may last, while the workers
   * reach one node only.
   */
  @ParameterizedTest(name = "{0} s refused, cancelled {1} s on, {2} s out, heartbeats to {3}")
  @CsvSource({
    "2, 0.05, 50, old",
    "2, 1, 50, follower",
    "2, 3, 70, new",
    "5, 0.05, 50, old",
    "5, 1, 70, old",
    "5, 0.05, 50, follower",
    "6, 0.05, 50, old",
    "6, 0.05, 70, old",
    "6.2, 0.05, 50, old",
    "6.2, 0.05, 70, follower",
    "6.5, 0.05, 40, old",
    "6.5, 0.05, 50, old",
    "6.5, 0.05, 70, old",
    "6.5, 0.3, 50, old",
    "6.5, 1, 50, old",
    "6.5, 0.05, 50, follower",
    "6.5, 0.05, 50, new",
    "7, 0.05, 40, old",
    "7, 0.05, 50, old",
    "7, 0.3, 70, old",
    "7, 1, 70, old",
    "7, 3, 50, old",
    "7, 0.05, 70, follower",
    "7, 0.05, 70, new",
    "8, 0.05, 40, old",
    "8, 0.05, 50, old",
    "8, 1, 50, old",
    "8, 1, 70, old",
    "8, 3, 50, old",
    "8, 10, 50, old",
    "8, 1, 50, follower",
    "8, 1, 70, new",
    "12, 0.05, 40, old",
    "12, 0.05, 50, old",
    "12, 1, 70, old",
    "12, 3, 50, old",
    "12, 3, 70, follower",
    "12, 10, 50, old",
    "12, 3, 70, new",
    "20, 0.05, 50, old",
    "20, 1, 70, old",
    "20, 3, 50, follower",
    "20, 10, 50, old",
    "20, 10, 70, old",
    "20, 10, 70, follower",
    "20, 10, 70, new"
  })
  void cancellationsHoldWhenTheLeaderIsRefusedAndThenAllNodes(
      double refusedS, double cancelledS, double outageS, String heartbeatsTo) {
    for (long seed = 101; seed < 104; seed++) {
      begin(seed, MEDIUM);
      List<JobId> cancelled = submitJobsToCancel();
      JobId stays = submit(job("wk-5", "daemon", 3, 0));
      run(60);
      for (JobId id : cancelled) {
        assertTrue(cluster.tasks.runningTasks(id) > 0, id + " does not run");
      }
      double from = cluster.clock.seconds();
      refuseTheLeader(refusedS, outageS, heartbeatsTo);
      cluster.clock.schedule(cancelledS, () -> cancelled.forEach(users::cancel));
      double refusedFor = cluster.clock.seconds() - from;
      cluster.clock.schedule(
          Math.max(0, refusedS - refusedFor), () -> cluster.storeFaults.outage(outageS));
      run(refusedS + outageS + 30);
      for (int i = 0; i < cluster.nodeCount(); i++) {
        cluster.networkFaults.isolateFromWorkers(i, 0);
      }
      assertRulesHoldToTheEnd();
      for (JobId id : cancelled) {
        assertCancelled(id);
        assertRunning(0, id);
      }
      assertRunning(3, stays);
    }
  }

  private List<JobId> submitJobsToCancel() {
    return List.of(
        submit(job("wk-1", "batch", 8, 400)),
        submit(job("wk-2", "daemon", 3, 0)),
        submit(job("wk-3", "group", 2, 300)),
        submit(job("wk-4", "batch", 2, 400)));
  }

  /** Refuses the leader until another one leads, while the workers reach one controller only. */
  private void refuseTheLeader(double refusedS, double outageS, String heartbeatsTo) {
    int old = cluster.leader();
    double from = cluster.clock.seconds();
    cluster.storeFaults.refuse(old, refusedS);
    // The next leader is not known before its election; until then the workers reach the old one.
    int follower = (old + 1) % cluster.nodeCount();
    letWorkersReachOnly(heartbeatsTo.equals("follower") ? follower : old, refusedS + outageS);
    while (!anotherLeads(old) && cluster.clock.seconds() - from < refusedS) {
      cluster.clock.runFor(0.05);
    }
    assertTrue(refusedS < LONGEST_ELECTION_S || anotherLeads(old), "nobody else took over");
    if (heartbeatsTo.equals("new") && anotherLeads(old)) {
      letWorkersReachOnly(cluster.leader(), refusedS + outageS);
    }
  }

  private boolean anotherLeads(int old) {
    return cluster.leader() >= 0 && cluster.leader() != old;
  }

  private void letWorkersReachOnly(int node, double seconds) {
    for (int i = 0; i < cluster.nodeCount(); i++) {
      cluster.networkFaults.isolateFromWorkers(i, i == node ? 0 : seconds);
    }
  }

  /** The key-value store answers slowly, then refuses the leader, then all nodes. */
  @ParameterizedTest(name = "seed {0}, latency {1} s")
  @CsvSource({"201, 0.4", "202, 0.8", "203, 1.2"})
  void cancellationsHoldOverSlownessRefusalAndOutage(long seed, double latencyS) {
    begin(seed, SimCluster.SMALL);
    JobId cancelled = submit(job("wk-1", "batch", 6, 400));
    JobId stays = submit(job("wk-2", "daemon", 3, 0));
    run(60);
    cluster.storeFaults.slowResponses(120, latencyS);
    run(6);
    cluster.storeFaults.refuse(cluster.leader(), 9);
    cluster.clock.schedule(7.5, () -> users.cancel(cancelled));
    cluster.clock.schedule(9, () -> cluster.storeFaults.outage(55));
    run(120);
    assertRulesHoldToTheEnd();
    assertCancelled(cancelled);
    assertRunning(3, stays);
  }

  /** All controllers are down for longer than a lease. */
  @ParameterizedTest(name = "down for {0} s, cancelled {1} s before")
  @CsvSource({"20, 0.5", "30, 0.02", "30, 0.5", "40, 0.1", "60, 3"})
  void cancellationsHoldWhileAllControllersAreDown(double awayS, double beforeS) {
    begin(221, SimCluster.SMALL);
    JobId cancelled = submit(job("wk-1", "batch", 6, 400));
    JobId stays = submit(job("wk-2", "daemon", 3, 0));
    run(60);
    cluster.machineFaults.hangWorkersOf(cancelled, 1, 10);
    users.cancel(cancelled);
    cluster.clock.runFor(beforeS);
    for (int i = 0; i < 3; i++) {
      cluster.controllers.crash(i, awayS + i * 0.3);
    }
    run(awayS + 60);
    assertRulesHoldToTheEnd();
    assertCancelled(cancelled);
    assertRunning(3, stays);
  }

  /** Ten leaders in two minutes, with and without an outage among them. */
  @ParameterizedTest(name = "seed {0}, outage {1} s, late writes {2}")
  @CsvSource({"171, 0, 0", "172, 30, 0", "173, 50, 0.2", "174, 0, 0.4"})
  void cancellationsHoldOverTenLeadersInTwoMinutes(long seed, double outageS, double lateShare) {
    begin(seed, SimCluster.SMALL);
    JobId stays = submit(job("wk-1", "daemon", 3, 0));
    JobId array = submit(job("wk-2", "batch", 12, 25));
    JobId cancelled = submit(job("wk-3", "batch", 3, 400));
    run(15);
    cluster.storeFaults.refuseLeaders(10, 12, 8);
    cluster.storeFaults.delayWrites(lateShare, 120);
    cluster.clock.schedule(50, () -> users.cancel(cancelled));
    if (outageS > 0) {
      cluster.clock.schedule(40, () -> cluster.storeFaults.outage(outageS));
    }
    run(120);
    assertRulesHoldToTheEnd();
    assertDone(array);
    assertCancelled(cancelled);
    assertRunning(3, stays);
  }
}
