package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ternhinge.http.SocketBudget;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;
import org.ternhinge.sim.SubmissionBuilder;

/**
 * The largest expected fleet, on virtual time: 1,700 machines and five controllers, with faults of
 * many machines at once. Work is bounded by counts, never by processor time.
 */
class LargeFleetTest {
  private static final int PER_OFFER = 215;
  private static final int FLEET = 8 * PER_OFFER;
  private static final double WRITES = 40;

  private SimCluster world;
  private SimUsers users;
  private final List<JobId> services = new ArrayList<>();
  private final List<JobId> others = new ArrayList<>();

  /** Counts of calls at some time. */
  private record Counts(
      double at, long commands, long changes, long scaleOuts, long releases, long lists) {
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

  private JobId submit(String id, String kind, int tasks, double cpus, double runs, int image) {
    var body = SubmissionBuilder.job(id, kind, tasks).cpus(cpus).runsFor(runs);
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
      world.clock.runFor(3);
      users.pollAll();
    }
  }

  private int replicas() {
    return services.stream().mapToInt(world.tasks::runningTasks).sum();
  }

  /** Asserts the bounds on work since a moment. */
  private void assertWorkIsBounded(Counts from, double cloudRps) {
    Counts to = Counts.of(world);
    double span = to.at - from.at;
    assertTrue(to.changes - from.changes <= WRITES * (span + 1), "changes of the key-value store");
    long calls =
        to.scaleOuts - from.scaleOuts + to.releases - from.releases + to.lists - from.lists;
    assertTrue(calls <= cloudRps * (span + 2), calls + " calls of the cloud in " + span + " s");
    int sockets = SocketBudget.of(world.settings("node-0").maxSockets()).maxOutboundCalls();
    assertTrue(
        world.counts.maxConcurrentCommandCalls() <= sockets,
        world.counts.maxConcurrentCommandCalls() + " direct commands at once");
    long steps = world.metrics.maxEvaluations();
    assertTrue(steps < 600L * FLEET, "a round of " + steps + " evaluations");
  }

  /** Submits services that fill most of the fleet, gangs and long arrays. */
  private void submitMixedLoad() {
    for (int i = 0; i < 200; i++) {
      services.add(submit(String.format("wk-1%03d", i), "daemon", 6, 4, 0, i % 12));
    }
    for (int i = 0; i < 150; i++) {
      others.add(submit(String.format("wk-2%03d", i), "group", 2, 14, 60, i % 16));
    }
    for (int i = 0; i < 20; i++) {
      others.add(submit(String.format("wk-3%03d", i), "batch", 300, 2, 25, i % 14));
    }
  }

  @Test
  void seventeenHundredMachinesHoldWhenManyFailTogether() {
    world = new SimCluster(91, 0, new SimCluster.Size(5, PER_OFFER, 12000, WRITES));
    users = new SimUsers(world);
    world.clock.runFor(5);
    Counts start = Counts.of(world);
    submitMixedLoad();
    run(75);
    assertTrue(
        world.machines.live().size() > 0.9 * FLEET, world.machines.live().size() + " machines");
    assertEquals(1200, replicas());
    assertWorkIsBounded(start, 4);

    Counts restart = Counts.of(world);
    world.machineFaults.restartMachines(0.4);
    assertTrue(replicas() < 900, "many are lost");
    run(24);
    assertEquals(1200, replicas(), "production work is back first");
    assertWorkIsBounded(restart, 4);

    Counts crash = Counts.of(world);
    int running = replicas();
    for (int i = 0; i < 5; i++) {
      world.controllers.crash(i, i * 0.1);
    }
    run(15);
    assertEquals(running, replicas(), "no running task is lost by it");
    int starts = world.tasks.starts();
    others.add(submit("wk-4000", "batch", 40, 1, 10, 1));
    run(9);
    assertTrue(world.tasks.starts() > starts, "the next leader starts work");
    assertWorkIsBounded(crash, 4);

    Counts cut = Counts.of(world);
    world.machineFaults.isolateMachinesOfZone("west", 48);
    run(66);
    assertEquals(1200, replicas(), "replicas of the lost zone run again");
    assertWorkIsBounded(cut, 4);
    users.expectTimelyAnswers();
    run(90);
    assertEquals(List.of(), world.violations());
    for (JobId id : others) {
      double waited = world.tasks.firstStartOf(id).orElse(1e9) - users.submittedAt(id);
      assertTrue(waited < 240, id + " began after " + waited);
      assertEquals("done", users.lastState(id));
    }
  }
}
