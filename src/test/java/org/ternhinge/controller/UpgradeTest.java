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
 * Controllers are replaced node by node, from the version before dependent jobs to the current one
 * and back, while faults go on. Users submit no dependent jobs before all nodes have the new
 * version, and the way back begins when the pipelines are over.
 *
 * <p>The old version is modelled around the current code by what it drops and writes (see {@code
 * OldVersion} among the stand-ins): it ignores the list of dependencies in submissions and records,
 * writes records back without it, declares no support of dependent jobs in the leader record, and
 * keeps to the larger limits. A process that crashes before its node's turn restarts as the old
 * version. The old program itself is not run here; the bytes that it writes are pinned in {@code
 * ProductionRecordsTest}.
 */
class UpgradeTest {
  private DependentJobs cluster;
  private SimCluster world;
  private int jobs;

  private void beginWithOldVersion(long seed, double loss) {
    cluster = new DependentJobs(seed, loss, new SimCluster.Size(3, 4, 60, 30));
    world = cluster.world;
    for (int node = 0; node < 3; node++) {
      world.controllers.runsOldVersion(node, true);
      world.controllers.crash(node, 1);
    }
    cluster.run(15);
  }

  private JobId plainJob() {
    String id = String.format("wk-1%04d", ++jobs);
    SubmissionBuilder body =
        DependentJobs.job(id, 1 + world.nextInt(6), 4 + world.nextInt(30), List.of());
    cluster.users.submit(body.team(jobs % 2 == 0 ? "red" : "blue"));
    return new JobId(id);
  }

  /** Replaces all nodes, the leader first or last, under submissions and one kind of fault. */
  private void replaceAll(boolean old, String fault, boolean leaderFirst) {
    List<Integer> order = new ArrayList<>(List.of(0, 1, 2));
    int leader = Math.max(0, world.leader());
    order.remove(Integer.valueOf(leader));
    order.add(leaderFirst ? 0 : 2, leader);
    for (int node : order) {
      plainJob();
      fault(fault, node);
      cluster.run(4);
      world.controllers.runsOldVersion(node, old);
      world.controllers.crash(node, 3);
      cluster.run(6);
      plainJob();
      cluster.run(3);
    }
  }

  private void fault(String fault, int next) {
    int other = (next + 1) % 3;
    switch (fault) {
      case "nothing" -> {}
      case "crash" -> world.controllers.crash(other, 0.3);
      case "leader crash" -> world.controllers.crash(Math.max(0, world.leader()), 2);
      case "cut" -> {
        world.storeFaults.refuse(other, 12);
        world.networkFaults.isolateFromWorkers(next, 8);
      }
      case "outage" -> world.storeFaults.outage(10);
      case "late writes" -> world.storeFaults.delayWrites(0.3, 10);
      case "zones apart" -> world.networkFaults.partitionZones(10);
      default -> throw new IllegalArgumentException(fault);
    }
  }

  /** Submits a chain and a diamond after the last node got the new version. */
  private List<JobId> pipelines(JobId old) {
    List<JobId> out = new ArrayList<>();
    out.add(cluster.submit("wk-201", 2, 5, old));
    out.add(cluster.submit("wk-202", 2, 30, out.get(0)));
    out.add(cluster.submit("wk-203", 2, 5, out.get(1)));
    out.add(cluster.submit("wk-301", 2, 8));
    out.add(cluster.submit("wk-302", 2, 8, out.get(3)));
    out.add(cluster.submit("wk-303", 2, 8, out.get(3)));
    out.add(cluster.submit("wk-304", 2, 5, out.get(4), out.get(5)));
    return out;
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
    "zones apart, false, 0",
    "zones apart, true, 0"
  })
  void upgradeNodeByNodeAndBack(String fault, boolean leaderFirst, double loss) {
    for (long seed = 601; seed < 603; seed++) {
      jobs = 0;
      beginWithOldVersion(seed, loss);
      SubmissionBuilder service = DependentJobs.job("wk-401", 2, 0, List.of()).kind("daemon");
      cluster.users.submit(service.priority("production").spotAllowed(false));
      JobId acceptedByOld = plainJob();
      cluster.run(10);
      replaceAll(false, fault, leaderFirst);
      List<JobId> pipelines = pipelines(acceptedByOld);
      cluster.run(20);
      JobId cancelled = pipelines.get(1);
      cluster.users.cancel(cancelled);
      cluster.run(150);
      for (JobId id : pipelines) {
        boolean goes = id.equals(cancelled) || world.jobs.dependencies(id).contains(cancelled);
        assertEquals(goes ? "cancelled" : "done", cluster.users.lastState(id), id.value());
      }
      replaceAll(true, fault, leaderFirst);
      cluster.run(40);
      assertEquals(2, world.tasks.runningTasks(new JobId("wk-401")), "the service is up all along");
      cluster.users.cancel(new JobId("wk-401"));
      cluster.run(60);
      cluster.users.expectTimelyAnswers();
      cluster.run(120);
      cluster.assertNoRuleBroken();
      for (JobId id : cluster.users.accepted()) {
        boolean goes =
            id.value().equals("wk-401")
                || id.equals(cancelled)
                || world.jobs.dependencies(id).contains(cancelled);
        assertEquals(goes ? "cancelled" : "done", cluster.users.lastState(id), id.value());
      }
    }
  }

  /**
   * While a node of the old version leads, a job with dependencies that reaches a new node all the
   * same is not relayed to that leader, which would drop the dependencies: the record keeps them.
   */
  @ParameterizedTest(name = "submitted at once: {0}")
  @CsvSource({"true", "false"})
  void aDependentJobIsNotRelayedToAnOldLeader(boolean atOnce) {
    beginWithOldVersion(611, 0);
    JobId first = plainJob();
    cluster.run(5);
    int leader = world.leader();
    int replaced = (leader + 1) % 3;
    world.controllers.runsOldVersion(replaced, false);
    world.controllers.crash(replaced, 1);
    cluster.run(atOnce ? 2 : 10);
    assertEquals(leader, world.leader(), "the old version leads");
    assertTrue(
        world.store.value("leader").path("deps").isMissingNode(),
        "and declares no support of dependent jobs");
    SubmissionBuilder body = DependentJobs.job("wk-501", 1, 5, List.of(first));
    DependentJobs.Timed answer = cluster.submitTo(replaced, body.bytes());
    assertEquals(201, answer.response().status());
    assertEquals(
        first.value(),
        world.store.value("j/wk-501").path("s").path("bidur_eftir").path(0).asText());
  }
}
