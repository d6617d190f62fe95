package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;
import org.ternhinge.sim.SimWorker;
import org.ternhinge.sim.SubmissionBuilder;

/** The rules that whole days are scored by, under one fault at a time, on virtual time. */
class EndOfDayChecksTest {
  private SimCluster world;

  private SimUsers users;

  private void begin(long seed, SimCluster.Size size) {
    world = new SimCluster(seed, 0, size);
    users = new SimUsers(world);
    world.clock.runFor(5);
  }

  private JobId submit(String id, String kind, int tasks, double cpus, double runs) {
    SubmissionBuilder body = SubmissionBuilder.job(id, kind, tasks).cpus(cpus).runsFor(runs);
    users.submit(body.productionIfService());
    return new JobId(id);
  }

  private void run(double seconds) {
    for (double t = 0; t < seconds; t += 3) {
      world.clock.runFor(3);
      users.pollAll();
    }
  }

  /** Runs until a poll answers that a job is done; returns the seconds that this took. */
  private double untilDone(JobId id, double most) {
    double from = world.clock.seconds();
    while (!"done".equals(users.lastState(id)) && world.clock.seconds() - from < most) {
      run(3);
    }
    return world.clock.seconds() - from;
  }

  /** Machines whose links are cut or lossy. */
  @Nested
  class UnreachableMachines {
    @Test
    void aMachineWithoutInboundLinkGetsNoStartsUntilItIsHealed() {
      begin(51, new SimCluster.Size(3, 1, 1000, 30));
      submit("wk-1", "batch", 160, 1, 8);
      run(40);
      SimWorker machine = world.machineFaults.dropInboundOfRandomWorker(200).orElseThrow();
      // Its epoch ends while its heartbeats arrive; a task placed there would wait for ever.
      submit("wk-2", "batch", 160, 1, 8);
      run(60);
      int sent = world.tasks.startsSentTo(machine.id());
      submit("wk-3", "batch", 160, 1, 8);
      run(60);
      assertEquals(sent, world.tasks.startsSentTo(machine.id()), "no start is sent there any more");
      run(150);
      int before = world.tasks.startsOn(machine.id());
      untilDone(submit("wk-4", "batch", 160, 1, 8), 120);
      boolean replaced = !world.machines.isLive(machine.id());
      assertTrue(
          replaced || world.tasks.startsOn(machine.id()) > before, "healed and not used again");
      assertEquals(List.of(), world.violations());
    }

    @Test
    void tasksOfASilentMachineStartElsewhereAfterItsLease() {
      begin(55, SimCluster.SMALL);
      JobId stays = submit("wk-1", "daemon", 4, 2, 0);
      run(60);
      assertEquals(4, world.tasks.runningTasks(stays));
      // A delayed heartbeat counts as a sign of life, since its answer may have arrived in time.
      // Whether one is delayed depends on the seed, so here the cut loses all of them.
      world.networkFaults.dropDuringPartitions();
      world.machineFaults.isolateWorkerOf(stays, 200);
      // Its grace and lease end within 45 s; its last heartbeat must not block its tasks for
      // longer.
      run(36);
      assertEquals(4, world.tasks.runningTasks(stays));
      assertEquals(List.of(), world.violations());
    }

    @Test
    void aLateDuplicateDoesNotReviveAReleasedMachine() {
      begin(52, SimCluster.SMALL);
      untilDone(submit("wk-1", "batch", 16, 2, 5), 120);
      run(120);
      List<MachineId> released = world.machines.removed();
      assertTrue(!released.isEmpty(), "idle machines are released");
      released.forEach(world.machineFaults::resendHeartbeat);
      // The duplicates are of ordinary machines and of spot machines, so an array is submitted.
      JobId next = submit("wk-2", "batch", 4, 2, 5);
      double took = untilDone(next, 120);
      assertTrue(
          took < 30, "on a released machine it would wait for a lease to expire; it took " + took);
      assertEquals(List.of(), world.violations());
    }
  }

  /** Controllers that are cut off, refused or crash. */
  @Nested
  class FailingControllers {
    /** Shorter and longer than the grace, with a cancellation under way. */
    @ParameterizedTest(name = "leader {0}, {1} s")
    @CsvSource({"true, 12", "true, 60", "false, 12", "false, 60"})
    void aControllerThatReachesOnlyItsWorkers(boolean leader, double seconds) {
      begin(53, SimCluster.SMALL);
      JobId stays = submit("wk-1", "daemon", 3, 2, 0);
      JobId goes = submit("wk-2", "batch", 4, 1, 300);
      run(60);
      assertEquals(3, world.tasks.runningTasks(stays));
      assertEquals(4, world.tasks.runningTasks(goes));
      int starts = world.tasks.starts();
      world.networkFaults.isolate(leader ? world.leader() : (world.leader() + 1) % 3, seconds);
      users.cancel(goes);
      run(seconds + 30);
      users.expectTimelyAnswers();
      run(90);
      assertEquals(3, world.tasks.runningTasks(stays));
      assertEquals(0, world.tasks.runningTasks(goes));
      assertEquals("cancelled", users.lastState(goes));
      assertEquals(starts, world.tasks.starts(), "no running task was lost by it");
      assertEquals(List.of(), world.violations());
    }

    /**
     * A node that can only answer 503 must not get users. An outage is no reason, since it concerns
     * all nodes: while all are unhealthy nobody is served.
     */
    @ParameterizedTest(name = "{0}: health {1}")
    @CsvSource({"leader alone, 503", "follower alone, 503", "outage, 200", "refused alone, 200"})
    void aNodeThatCanServeNoUserIsUnhealthy(String fault, int status) {
      begin(56, SimCluster.SMALL);
      run(10);
      int node = fault.startsWith("follower") ? (world.leader() + 1) % 3 : world.leader();
      switch (fault) {
        case "outage" -> world.storeFaults.outage(30);
        case "refused alone" -> world.storeFaults.refuse(node, 30);
        default -> world.networkFaults.isolate(node, 30);
      }
      run(12);
      assertEquals(
          status, world.controllers.answerTo(node, "GET", "/healthz", new byte[0]).status());
      run(24);
      assertEquals(
          200, world.controllers.answerTo(node, "GET", "/healthz", new byte[0]).status(), "healed");
    }

    /** The answer about a job that is over needs no leader. */
    @Test
    void theCancellationOfADoneJobIsAnsweredWithoutALeader() {
      begin(57, SimCluster.SMALL);
      JobId job = submit("wk-1", "batch", 2, 1, 5);
      untilDone(job, 60);
      int leader = world.leader();
      world.storeFaults.refuse(leader, 30);
      world.clock.runFor(5.9);
      String path = "/submissions/" + job + "/cancel";
      var answer = world.controllers.answerTo((leader + 1) % 3, "POST", path, new byte[0]);
      assertEquals(200, answer.status());
      assertTrue(new String(answer.body(), StandardCharsets.UTF_8).contains("\"done\""));
    }

    /** All processes crash repeatedly, also in mid-election, and are back at once. */
    @ParameterizedTest(name = "seed {0}")
    @CsvSource({"61", "62", "63", "64"})
    void crashesInMidElectionLoseNoRunningTask(long seed) {
      begin(seed, SimCluster.SMALL);
      JobId stays = submit("wk-1", "daemon", 3, 2, 0);
      JobId array = submit("wk-2", "batch", 30, 1, 10);
      run(20);
      world.machineFaults.duplicateHeartbeats(0.5, 40);
      for (int i = 0; i < 12; i++) {
        for (int n = 0; n < 3; n++) {
          world.controllers.crash(n, 0.05 + world.nextInt(6) / 20.0);
        }
        world.clock.runFor(0.2 + world.nextInt(20) / 10.0);
      }
      users.expectTimelyAnswers();
      run(150);
      assertEquals(3, world.tasks.runningTasks(stays));
      assertEquals("done", users.lastState(array));
      assertEquals(List.of(), world.violations());
    }
  }

  /** Many jobs and many machines. */
  @Nested
  class Load {
    /**
     * An endless queue of small jobs must not starve the largest ones, nor these the small ones.
     */
    @Test
    void theLargestJobsStartWithinFourMinutesBesideEndlessSmallOnes() {
      begin(71, new SimCluster.Size(3, 4, 1000, 30));
      List<JobId> small = new ArrayList<>();
      List<JobId> large = new ArrayList<>();
      for (int step = 0; step < 130; step++) {
        // Each round asks for a fourth more than all machines can run.
        small.add(submit("wk-1" + String.format("%04d", step), "batch", 60, 2, 9));
        if (step == 20) {
          large.add(submit("wk-200", "batch", 200, 2, 9));
        }
        if (step == 25) {
          SubmissionBuilder gang =
              SubmissionBuilder.job("wk-300", "group", 4).cpus(14.0).runsFor(20.0);
          users.submit(gang.accelerators(2.0).together(true).spotAllowed(false));
          large.add(new JobId("wk-300"));
        }
        run(3);
      }
      for (JobId id : large) {
        double waited = world.tasks.firstStartOf(id).orElse(1e9) - users.submittedAt(id);
        assertTrue(waited < 240, id + " began after " + waited);
      }
      long served = small.stream().filter(id -> world.tasks.firstStartOf(id).isPresent()).count();
      assertTrue(served * 2 >= small.size(), "only " + served + " of the small ones");
      assertEquals(List.of(), world.violations());
    }

    /** Work is bounded by counts: it follows the number of changes, not the size of the fleet. */
    @Test
    void workOfFiveControllersFollowsTheChangesNotTheFleet() {
      begin(81, new SimCluster.Size(5, 70, 4000, 30));
      List<JobId> jobs = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        jobs.add(submit("wk-1" + String.format("%03d", i), "daemon", 6, 4, 0));
      }
      for (int i = 0; i < 12; i++) {
        jobs.add(submit("wk-2" + String.format("%03d", i), "batch", 200, 2, 15));
      }
      run(120);
      for (JobId id : jobs) {
        assertTrue(world.tasks.firstStartOf(id).isPresent(), id + " has not begun");
      }
      assertTrue(
          world.machines.totalProvisioned() > 200,
          "only " + world.machines.totalProvisioned() + " machines");
      long changes = world.counts.storeChanges();
      long commands = world.counts.commandCalls();
      long heartbeats = world.counts.heartbeats();
      run(60);
      assertTrue(
          world.counts.commandCalls() - commands < 60,
          "idle, yet commands: " + (world.counts.commandCalls() - commands));
      assertTrue(
          world.counts.storeChanges() - changes < 400,
          "idle, yet changes: " + (world.counts.storeChanges() - changes));
      assertTrue(world.counts.heartbeats() - heartbeats > 2000, "machines send heartbeats");
      assertTrue(
          world.metrics.maxEvaluations() < 200_000,
          "evaluations of a round: " + world.metrics.maxEvaluations());
      int starts = world.tasks.starts();
      world.controllers.crash(world.leader(), 5);
      run(60);
      assertEquals(starts, world.tasks.starts(), "a change of leader costs no running task");
      assertEquals(List.of(), world.violations());
    }
  }
}
