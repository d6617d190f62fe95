package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;

/**
 * Confirmed cancellations persist through an outage of the key-value store or of all controllers.
 */
class CancellationAndOutageTest extends CombinedFaultsFixture {
  /**
   * Upper bound of the time from the store's refusal of the leader to the election of another one.
   */
  private static final double MAX_ELECTION_S = 7;

  /**
   * The key-value store refuses only the leader; another node takes over and confirms
   * cancellations; then the store refuses all nodes for longer than a cancelled task may run, while
   * workers can reach only one node.
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
  void cancellationsPersistAfterLeaderRefusalThenStoreOutage(
      double refusedS, double cancelledS, double outageS, String heartbeatsTo) {
    for (long seed = 101; seed < 104; seed++) {
      startCluster(seed, MEDIUM);
      List<JobId> cancelled = submitJobsToCancel();
      JobId service = submit(job("wk-5", "daemon", 3, 0));
      run(60);
      for (JobId id : cancelled) {
        assertTrue(cluster.tasks.runningTasks(id) > 0, id + " does not run");
      }
      double from = cluster.clock.seconds();
      refuseLeader(refusedS, outageS, heartbeatsTo);
      cluster.clock.schedule(cancelledS, () -> cancelled.forEach(users::cancel));
      double refusedFor = cluster.clock.seconds() - from;
      cluster.clock.schedule(
          Math.max(0, refusedS - refusedFor), () -> cluster.storeFaults.outage(outageS));
      run(refusedS + outageS + 30);
      for (int i = 0; i < cluster.nodeCount(); i++) {
        cluster.networkFaults.isolateFromWorkers(i, 0);
      }
      assertNoViolationsAtEnd();
      for (JobId id : cancelled) {
        assertCancelled(id);
        assertRunning(0, id);
      }
      assertRunning(3, service);
    }
  }

  private List<JobId> submitJobsToCancel() {
    return List.of(
        submit(job("wk-1", "batch", 8, 400)),
        submit(job("wk-2", "daemon", 3, 0)),
        submit(job("wk-3", "group", 2, 300)),
        submit(job("wk-4", "batch", 2, 400)));
  }

  /**
   * Has the store refuse the leader until another node leads, while workers reach one controller
   * only.
   */
  private void refuseLeader(double refusedS, double outageS, String heartbeatsTo) {
    int oldLeader = cluster.leader();
    double from = cluster.clock.seconds();
    cluster.storeFaults.refuse(oldLeader, refusedS);
    // The next leader is unknown before its election; until then workers reach the old leader.
    int follower = (oldLeader + 1) % cluster.nodeCount();
    limitWorkersToNode(heartbeatsTo.equals("follower") ? follower : oldLeader, refusedS + outageS);
    while (!otherNodeLeads(oldLeader) && cluster.clock.seconds() - from < refusedS) {
      cluster.clock.runFor(0.05);
    }
    assertTrue(refusedS < MAX_ELECTION_S || otherNodeLeads(oldLeader), "no other node took over");
    if (heartbeatsTo.equals("new") && otherNodeLeads(oldLeader)) {
      limitWorkersToNode(cluster.leader(), refusedS + outageS);
    }
  }

  private boolean otherNodeLeads(int oldLeader) {
    return cluster.leader() >= 0 && cluster.leader() != oldLeader;
  }

  private void limitWorkersToNode(int node, double seconds) {
    for (int i = 0; i < cluster.nodeCount(); i++) {
      cluster.networkFaults.isolateFromWorkers(i, i == node ? 0 : seconds);
    }
  }

  /** The key-value store answers slowly, then refuses the leader, then all nodes. */
  @ParameterizedTest(name = "seed {0}, latency {1} s")
  @CsvSource({"201, 0.4", "202, 0.8", "203, 1.2"})
  void cancellationPersistsOverSlowStoreRefusalAndOutage(long seed, double latencyS) {
    startCluster(seed, SimCluster.SMALL);
    JobId cancelled = submit(job("wk-1", "batch", 6, 400));
    JobId service = submit(job("wk-2", "daemon", 3, 0));
    run(60);
    cluster.storeFaults.slowResponses(120, latencyS);
    run(6);
    cluster.storeFaults.refuse(cluster.leader(), 9);
    cluster.clock.schedule(7.5, () -> users.cancel(cancelled));
    cluster.clock.schedule(9, () -> cluster.storeFaults.outage(55));
    run(120);
    assertNoViolationsAtEnd();
    assertCancelled(cancelled);
    assertRunning(3, service);
  }

  /** All controllers are down, in most cases for longer than a lease. */
  @ParameterizedTest(name = "down for {0} s, cancelled {1} s before")
  @CsvSource({"20, 0.5", "30, 0.02", "30, 0.5", "40, 0.1", "60, 3"})
  void cancellationPersistsWhileAllControllersAreDown(double downS, double beforeS) {
    startCluster(221, SimCluster.SMALL);
    JobId cancelled = submit(job("wk-1", "batch", 6, 400));
    JobId service = submit(job("wk-2", "daemon", 3, 0));
    run(60);
    cluster.machineFaults.hangWorkersOf(cancelled, 1, 10);
    users.cancel(cancelled);
    cluster.clock.runFor(beforeS);
    for (int i = 0; i < 3; i++) {
      cluster.controllers.crash(i, downS + i * 0.3);
    }
    run(downS + 60);
    assertNoViolationsAtEnd();
    assertCancelled(cancelled);
    assertRunning(3, service);
  }

  /** Leadership changes ten times in two minutes, with and without a store outage in between. */
  @ParameterizedTest(name = "seed {0}, outage {1} s, late writes {2}")
  @CsvSource({"171, 0, 0", "172, 30, 0", "173, 50, 0.2", "174, 0, 0.4"})
  void cancellationPersistsOverTenLeadersInTwoMinutes(
      long seed, double outageS, double lateWriteShare) {
    startCluster(seed, SimCluster.SMALL);
    JobId service = submit(job("wk-1", "daemon", 3, 0));
    JobId array = submit(job("wk-2", "batch", 12, 25));
    JobId cancelled = submit(job("wk-3", "batch", 3, 400));
    run(15);
    cluster.storeFaults.refuseLeaders(10, 12, 8);
    cluster.storeFaults.delayWrites(lateWriteShare, 120);
    cluster.clock.schedule(50, () -> users.cancel(cancelled));
    if (outageS > 0) {
      cluster.clock.schedule(40, () -> cluster.storeFaults.outage(outageS));
    }
    run(120);
    assertNoViolationsAtEnd();
    assertDone(array);
    assertCancelled(cancelled);
    assertRunning(3, service);
  }
}
