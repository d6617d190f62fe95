package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.ternhinge.http.SocketBudget;
import org.ternhinge.model.JobId;
import org.ternhinge.model.TaskId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;
import org.ternhinge.sim.SubmissionBuilder;

/**
 * The largest expected fleet, 1,700 machines and five controllers, under faults of many machines at
 * once, on virtual time. Work is bounded by counts, never by processor time.
 */
class LargeFleetTest {
  private static final int MACHINES_PER_OFFER = 215;
  private static final int FLEET_SIZE = 8 * MACHINES_PER_OFFER;
  private static final double STORE_WRITES_PER_S = 40;

  private SimCluster cluster;
  private SimUsers users;
  private final List<JobId> services = new ArrayList<>();
  private final List<JobId> otherJobs = new ArrayList<>();

  /** Counts of calls up to a point in time. */
  private record Counts(
      double atS, long commands, long changes, long provisionings, long releases, long listings) {
    static Counts of(SimCluster cluster) {
      return new Counts(
          cluster.clock.seconds(),
          cluster.counts.commandCalls(),
          cluster.counts.storeChanges(),
          cluster.counts.provisionCalls(),
          cluster.counts.releaseCalls(),
          cluster.counts.machineListings());
    }
  }

  private JobId submit(String id, String kind, int tasks, double cpus, double runS, int image) {
    var body = SubmissionBuilder.job(id, kind, tasks).cpus(cpus).runsFor(runS);
    body.image("img-" + image);
    body.productionIfService().scatter(kind.equals("daemon"));
    if (kind.equals("group")) {
      body.accelerators(2.0).together(true);
    }
    users.submit(body);
    return new JobId(id);
  }

  private void run(double seconds) {
    for (double t = 0; t < seconds; t += 3) {
      cluster.clock.runFor(3);
      users.pollAll();
    }
  }

  private int replicas() {
    return services.stream().mapToInt(cluster.tasks::runningTasks).sum();
  }

  private Set<TaskId> missingReplicas() {
    Set<TaskId> missing = new HashSet<>();
    services.forEach(id -> IntStream.range(0, 6).forEach(i -> missing.add(new TaskId(id, i))));
    cluster.tasks.forEachRunningTask(missing::remove);
    return missing;
  }

  /** Asserts that every replica runs now or after a few seconds; replicas may be moved. */
  private void assertNoReplicaMissingFor(double seconds) {
    Set<TaskId> missing = missingReplicas();
    run(seconds);
    missing.retainAll(missingReplicas());
    assertEquals(Set.of(), missing, "replicas that do not run");
  }

  /** Asserts that the work since the given counts is within its bounds. */
  private void assertWorkIsBounded(Counts from, double cloudRps) {
    Counts to = Counts.of(cluster);
    double spanS = to.atS - from.atS;
    assertTrue(
        to.changes - from.changes <= STORE_WRITES_PER_S * (spanS + 1),
        "store changes exceed the rate limit");
    long calls =
        to.provisionings
            - from.provisionings
            + to.releases
            - from.releases
            + to.listings
            - from.listings;
    assertTrue(calls <= cloudRps * (spanS + 2), calls + " cloud calls in " + spanS + " s");
    int sockets = SocketBudget.of(cluster.settings("node-0").maxSockets()).maxOutboundCalls();
    assertTrue(
        cluster.counts.maxConcurrentCommandCalls() <= sockets,
        cluster.counts.maxConcurrentCommandCalls() + " concurrent direct commands");
    long evaluations = cluster.metrics.maxEvaluations();
    assertTrue(evaluations < 600L * FLEET_SIZE, "a round of " + evaluations + " evaluations");
  }

  /** Submits services that fill most of the fleet, gangs and long arrays. */
  private void submitMixedLoad() {
    for (int i = 0; i < 200; i++) {
      services.add(submit(String.format("wk-1%03d", i), "daemon", 6, 4, 0, i % 12));
    }
    for (int i = 0; i < 150; i++) {
      otherJobs.add(submit(String.format("wk-2%03d", i), "group", 2, 14, 60, i % 16));
    }
    for (int i = 0; i < 20; i++) {
      otherJobs.add(submit(String.format("wk-3%03d", i), "batch", 300, 2, 25, i % 14));
    }
  }

  @Test
  void fleetRecoversWhenManyMachinesFailTogether() {
    cluster =
        new SimCluster(
            91, 0, new SimCluster.Size(5, MACHINES_PER_OFFER, 12000, STORE_WRITES_PER_S));
    users = new SimUsers(cluster);
    cluster.clock.runFor(5);
    Counts start = Counts.of(cluster);
    submitMixedLoad();
    run(75);
    assertTrue(
        cluster.machines.live().size() > 0.9 * FLEET_SIZE,
        cluster.machines.live().size() + " machines");
    assertEquals(1200, replicas());
    assertWorkIsBounded(start, 4);

    Counts restart = Counts.of(cluster);
    cluster.machineFaults.restartMachines(0.4);
    assertTrue(replicas() < 900, "too few replicas were lost");
    run(24);
    assertEquals(1200, replicas(), "production replicas restart first");
    assertWorkIsBounded(restart, 4);

    Counts crash = Counts.of(cluster);
    int running = replicas();
    for (int i = 0; i < 5; i++) {
      cluster.controllers.crash(i, i * 0.1);
    }
    run(15);
    assertEquals(running, replicas(), "running replicas after the crash");
    int starts = cluster.tasks.starts();
    otherJobs.add(submit("wk-4000", "batch", 40, 1, 10, 1));
    run(9);
    assertTrue(cluster.tasks.starts() > starts, "the next leader started no task");
    assertWorkIsBounded(crash, 4);

    Counts zoneCut = Counts.of(cluster);
    cluster.machineFaults.isolateMachinesOfZone("west", 48);
    run(63);
    assertNoReplicaMissingFor(3);
    assertWorkIsBounded(zoneCut, 4);
    users.expectTimelyAnswers();
    run(90);
    assertEquals(List.of(), cluster.violations());
    for (JobId id : otherJobs) {
      double waited = cluster.tasks.firstStartOf(id).orElse(1e9) - users.submittedAt(id);
      assertTrue(waited < 240, id + " started after " + waited);
      assertEquals("done", users.lastState(id));
    }
  }
}
