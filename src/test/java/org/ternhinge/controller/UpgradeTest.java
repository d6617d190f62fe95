package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SubmissionBuilder;

/**
 * Rolling upgrade from the version without dependent jobs to the current one, and downgrade back,
 * under faults. Users submit no dependent jobs before all nodes have the new version, and the
 * downgrade begins after the pipelines have ended.
 *
 * <p>The old version is emulated by a wrapper around the current code (see {@code OldVersion}): it
 * ignores the list of dependencies in submissions and records, writes records back without it,
 * declares no support for dependent jobs in the leader record, and uses the larger limits. A
 * process that crashes before its node is upgraded restarts as the old version. The old program
 * itself is not run here; the bytes that it writes are fixed by {@code ProductionRecordsTest}.
 */
class UpgradeTest {
  private ClusterFixture cluster;
  private SimCluster simulation;
  private int submittedJobs;

  private void beginWithOldVersion(long seed, double loss) {
    cluster = new ClusterFixture(seed, loss, new SimCluster.Size(3, 4, 60, 30));
    simulation = cluster.simulation;
    for (int node = 0; node < 3; node++) {
      simulation.controllers.runsOldVersion(node, true);
      simulation.controllers.crash(node, 1);
    }
    cluster.run(15);
  }

  private JobId submitIndependentJob() {
    String id = String.format("wk-1%04d", ++submittedJobs);
    SubmissionBuilder body =
        ClusterFixture.job(id, 1 + simulation.nextInt(6), 4 + simulation.nextInt(30), List.of());
    cluster.users.submit(body.team(submittedJobs % 2 == 0 ? "red" : "blue"));
    return new JobId(id);
  }

  /**
   * Replaces all nodes, the leader first or last, while jobs are submitted and one kind of fault is
   * injected.
   */
  private void replaceAll(boolean old, String fault, boolean leaderFirst) {
    List<Integer> order = new ArrayList<>(List.of(0, 1, 2));
    int leader = Math.max(0, simulation.leader());
    order.remove(Integer.valueOf(leader));
    order.add(leaderFirst ? 0 : 2, leader);
    for (int node : order) {
      submitIndependentJob();
      injectFault(fault, node);
      cluster.run(4);
      simulation.controllers.runsOldVersion(node, old);
      simulation.controllers.crash(node, 3);
      cluster.run(6);
      submitIndependentJob();
      cluster.run(3);
    }
  }

  private void injectFault(String fault, int nextNode) {
    int other = (nextNode + 1) % 3;
    switch (fault) {
      case "nothing" -> {}
      case "crash" -> simulation.controllers.crash(other, 0.3);
      case "leader crash" -> simulation.controllers.crash(Math.max(0, simulation.leader()), 2);
      case "cut" -> {
        simulation.storeFaults.refuse(other, 12);
        simulation.networkFaults.isolateFromWorkers(nextNode, 8);
      }
      case "outage" -> simulation.storeFaults.outage(10);
      case "late writes" -> simulation.storeFaults.delayWrites(0.3, 10);
      case "zones partitioned" -> simulation.networkFaults.partitionZones(10);
      default -> throw new IllegalArgumentException(fault);
    }
  }

  /** Submits a chain and a diamond, after the last node has been upgraded. */
  private List<JobId> submitPipelines(JobId old) {
    List<JobId> jobs = new ArrayList<>();
    jobs.add(cluster.submit("wk-201", 2, 5, old));
    jobs.add(cluster.submit("wk-202", 2, 30, jobs.get(0)));
    jobs.add(cluster.submit("wk-203", 2, 5, jobs.get(1)));
    jobs.add(cluster.submit("wk-301", 2, 8));
    jobs.add(cluster.submit("wk-302", 2, 8, jobs.get(3)));
    jobs.add(cluster.submit("wk-303", 2, 8, jobs.get(3)));
    jobs.add(cluster.submit("wk-304", 2, 5, jobs.get(4), jobs.get(5)));
    return jobs;
  }

  /** No task is lost, run twice or started early by the upgrade or by the downgrade. */
  @ParameterizedTest(name = "{0}, leader first: {1}, loss {2}")
  @CsvSource({
    "nothing, false, 0",
    "nothing, true, 0",
    "crash, false, 0",
    "crash, true, 0.01",
    "leader crash, false, 0.01",
    "leader crash, true, 0",
    "cut, false, 0",
    "cut, true, 0.01",
    "outage, false, 0",
    "outage, true, 0",
    "late writes, false, 0",
    "late writes, true, 0",
    "zones partitioned, false, 0",
    "zones partitioned, true, 0"
  })
  void rollingUpgradeAndDowngradeViolateNoInvariant(
      String fault, boolean leaderFirst, double loss) {
    for (long seed = 601; seed < 603; seed++) {
      submittedJobs = 0;
      beginWithOldVersion(seed, loss);
      SubmissionBuilder service = ClusterFixture.job("wk-401", 2, 0, List.of()).kind("daemon");
      cluster.users.submit(service.priority("production").spotAllowed(false));
      JobId acceptedByOld = submitIndependentJob();
      cluster.run(10);
      replaceAll(false, fault, leaderFirst);
      List<JobId> pipelines = submitPipelines(acceptedByOld);
      cluster.run(20);
      JobId cancelled = pipelines.get(1);
      cluster.users.cancel(cancelled);
      cluster.run(150);
      for (JobId id : pipelines) {
        boolean expectCancelled =
            id.equals(cancelled) || simulation.jobs.dependencies(id).contains(cancelled);
        assertEquals(
            expectCancelled ? "cancelled" : "done", cluster.users.lastState(id), id.value());
      }
      replaceAll(true, fault, leaderFirst);
      cluster.run(40);
      assertEquals(
          2, simulation.tasks.runningTasks(new JobId("wk-401")), "running replicas of the service");
      cluster.users.cancel(new JobId("wk-401"));
      cluster.run(60);
      cluster.users.expectTimelyAnswers();
      cluster.run(120);
      cluster.assertNoViolations();
      for (JobId id : cluster.users.accepted()) {
        boolean expectCancelled =
            id.value().equals("wk-401")
                || id.equals(cancelled)
                || simulation.jobs.dependencies(id).contains(cancelled);
        assertEquals(
            expectCancelled ? "cancelled" : "done", cluster.users.lastState(id), id.value());
      }
    }
  }

  /**
   * A node of the new version does not relay a dependent job to a leader of the old version, which
   * would drop the dependencies; it writes the record itself.
   */
  @ParameterizedTest(name = "submitted immediately: {0}")
  @CsvSource({"true", "false"})
  void dependentJobIsNotRelayedToOldLeader(boolean immediate) {
    beginWithOldVersion(611, 0);
    JobId first = submitIndependentJob();
    cluster.run(5);
    int leader = simulation.leader();
    int replaced = (leader + 1) % 3;
    simulation.controllers.runsOldVersion(replaced, false);
    simulation.controllers.crash(replaced, 1);
    cluster.run(immediate ? 2 : 10);
    assertEquals(leader, simulation.leader(), "the leader, of the old version");
    assertTrue(
        simulation.store.value("leader").path("deps").isMissingNode(),
        "the leader declares support for dependent jobs");
    SubmissionBuilder body = ClusterFixture.job("wk-501", 1, 5, List.of(first));
    ClusterFixture.TimedResponse answer = cluster.submitTo(replaced, body.bytes());
    assertEquals(201, answer.response().status());
    assertEquals(
        first.value(),
        simulation.store.value("j/wk-501").path("s").path("bidur_eftir").path(0).asText());
  }
}
