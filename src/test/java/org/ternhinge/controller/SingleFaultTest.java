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

/** The invariants of the platform under one fault at a time, on virtual time. */
class SingleFaultTest {
  private SimCluster cluster;

  private SimUsers users;

  private void startCluster(long seed, SimCluster.Size size) {
    cluster = new SimCluster(seed, 0, size);
    users = new SimUsers(cluster);
    cluster.clock.runFor(5);
  }

  private JobId submit(String id, String kind, int tasks, double cpus, double runS) {
    SubmissionBuilder body = SubmissionBuilder.job(id, kind, tasks).cpus(cpus).runsFor(runS);
    users.submit(body.productionIfService());
    return new JobId(id);
  }

  private void run(double seconds) {
    for (double elapsed = 0; elapsed < seconds; elapsed += 3) {
      cluster.clock.runFor(3);
      users.pollAll();
    }
  }

  /**
   * Runs until a poll reports the job as done, or until the timeout; returns the elapsed seconds.
   */
  private double runUntilDone(JobId id, double timeoutS) {
    double from = cluster.clock.seconds();
    while (!"done".equals(users.lastState(id)) && cluster.clock.seconds() - from < timeoutS) {
      run(3);
    }
    return cluster.clock.seconds() - from;
  }

  /** Machines whose links are cut or lossy. */
  @Nested
  class UnreachableMachines {
    @Test
    void machineWithoutInboundLinkGetsNoStartsUntilHealed() {
      startCluster(51, new SimCluster.Size(3, 1, 1000, 30));
      submit("wk-1", "batch", 160, 1, 8);
      run(40);
      SimWorker machine = cluster.machineFaults.dropInboundOfRandomWorker(200).orElseThrow();
      // Its epoch expires although its heartbeats arrive; a task placed there would never start.
      submit("wk-2", "batch", 160, 1, 8);
      run(60);
      int sent = cluster.tasks.startsSentTo(machine.id());
      submit("wk-3", "batch", 160, 1, 8);
      run(60);
      assertEquals(
          sent, cluster.tasks.startsSentTo(machine.id()), "starts sent to the unreachable machine");
      run(150);
      int before = cluster.tasks.startsOn(machine.id());
      runUntilDone(submit("wk-4", "batch", 160, 1, 8), 120);
      boolean replaced = !cluster.machines.isLive(machine.id());
      assertTrue(
          replaced || cluster.tasks.startsOn(machine.id()) > before,
          "machine not used again after the fault");
      assertEquals(List.of(), cluster.violations());
    }

    @Test
    void tasksOfSilentMachineRestartAfterItsLease() {
      startCluster(55, SimCluster.SMALL);
      JobId service = submit("wk-1", "daemon", 4, 2, 0);
      run(60);
      assertEquals(4, cluster.tasks.runningTasks(service));
      // A delayed heartbeat proves that the worker is alive, since its answer may arrive in time.
      // Whether one is delayed depends on the seed, so this cut drops all of them.
      cluster.networkFaults.dropDuringPartitions();
      cluster.machineFaults.isolateWorkerOf(service, 200);
      // Its grace and lease expire within 45 s; its last heartbeat must not delay the restart.
      run(36);
      assertEquals(4, cluster.tasks.runningTasks(service));
      assertEquals(List.of(), cluster.violations());
    }

    @Test
    void lateDuplicateDoesNotReviveReleasedMachine() {
      startCluster(52, SimCluster.SMALL);
      runUntilDone(submit("wk-1", "batch", 16, 2, 5), 120);
      run(120);
      List<MachineId> released = cluster.machines.removed();
      assertTrue(!released.isEmpty(), "no idle machine was released");
      released.forEach(cluster.machineFaults::resendHeartbeat);
      // Some of the released machines are spot machines, so an array job, which may use them,
      // follows.
      JobId next = submit("wk-2", "batch", 4, 2, 5);
      double took = runUntilDone(next, 120);
      assertTrue(
          took < 30,
          "a task placed on a released machine waits for lease expiry; the job took " + took);
      assertEquals(List.of(), cluster.violations());
    }
  }

  /** Controllers that are isolated, refused by the store, or crash. */
  @Nested
  class FailingControllers {
    /** The isolation is shorter or longer than the grace, and a job is cancelled meanwhile. */
    @ParameterizedTest(name = "leader {0}, {1} s")
    @CsvSource({"true, 12", "true, 60", "false, 12", "false, 60"})
    void isolatedControllerLosesNoRunningTask(boolean leader, double seconds) {
      startCluster(53, SimCluster.SMALL);
      JobId service = submit("wk-1", "daemon", 3, 2, 0);
      JobId cancelled = submit("wk-2", "batch", 4, 1, 300);
      run(60);
      assertEquals(3, cluster.tasks.runningTasks(service));
      assertEquals(4, cluster.tasks.runningTasks(cancelled));
      int starts = cluster.tasks.starts();
      cluster.networkFaults.isolate(
          leader ? cluster.leader() : (cluster.leader() + 1) % 3, seconds);
      users.cancel(cancelled);
      run(seconds + 30);
      users.expectTimelyAnswers();
      run(90);
      assertEquals(3, cluster.tasks.runningTasks(service));
      assertEquals(0, cluster.tasks.runningTasks(cancelled));
      assertEquals("cancelled", users.lastState(cancelled));
      assertEquals(starts, cluster.tasks.starts(), "tasks were restarted");
      assertEquals(List.of(), cluster.violations());
    }

    /**
     * A node that can only answer 503 reports itself unhealthy, so that users are routed elsewhere.
     * A store outage affects all nodes and doesn't count: if all were unhealthy, no user would be
     * served.
     */
    @ParameterizedTest(name = "{0}: health {1}")
    @CsvSource({"leader alone, 503", "follower alone, 503", "outage, 200", "refused alone, 200"})
    void nodeThatCanServeNoUserIsUnhealthy(String fault, int status) {
      startCluster(56, SimCluster.SMALL);
      run(10);
      int node = fault.startsWith("follower") ? (cluster.leader() + 1) % 3 : cluster.leader();
      switch (fault) {
        case "outage" -> cluster.storeFaults.outage(30);
        case "refused alone" -> cluster.storeFaults.refuse(node, 30);
        default -> cluster.networkFaults.isolate(node, 30);
      }
      run(12);
      assertEquals(
          status, cluster.controllers.answerTo(node, "GET", "/healthz", new byte[0]).status());
      run(24);
      assertEquals(
          200,
          cluster.controllers.answerTo(node, "GET", "/healthz", new byte[0]).status(),
          "health after the fault");
    }

    /** A request about an ended job needs no leader. */
    @Test
    void cancellationOfDoneJobIsAnsweredWithoutLeader() {
      startCluster(57, SimCluster.SMALL);
      JobId job = submit("wk-1", "batch", 2, 1, 5);
      runUntilDone(job, 60);
      int leader = cluster.leader();
      cluster.storeFaults.refuse(leader, 30);
      cluster.clock.runFor(5.9);
      String path = "/submissions/" + job + "/cancel";
      var answer = cluster.controllers.answerTo((leader + 1) % 3, "POST", path, new byte[0]);
      assertEquals(200, answer.status());
      assertTrue(new String(answer.body(), StandardCharsets.UTF_8).contains("\"done\""));
    }

    /** All controllers crash repeatedly, also during elections, and restart at once. */
    @ParameterizedTest(name = "seed {0}")
    @CsvSource({"61", "62", "63", "64"})
    void crashesDuringElectionLoseNoRunningTask(long seed) {
      startCluster(seed, SimCluster.SMALL);
      JobId service = submit("wk-1", "daemon", 3, 2, 0);
      JobId array = submit("wk-2", "batch", 30, 1, 10);
      run(20);
      cluster.machineFaults.duplicateHeartbeats(0.5, 40);
      for (int i = 0; i < 12; i++) {
        for (int n = 0; n < 3; n++) {
          cluster.controllers.crash(n, 0.05 + cluster.nextInt(6) / 20.0);
        }
        cluster.clock.runFor(0.2 + cluster.nextInt(20) / 10.0);
      }
      users.expectTimelyAnswers();
      run(150);
      assertEquals(3, cluster.tasks.runningTasks(service));
      assertEquals("done", users.lastState(array));
      assertEquals(List.of(), cluster.violations());
    }
  }

  /** Many jobs or many machines. */
  @Nested
  class Load {
    /** An endless queue of small jobs must not starve the largest jobs, nor vice versa. */
    @Test
    void largestJobsStartWithinFourMinutesUnderEndlessSmallOnes() {
      startCluster(71, new SimCluster.Size(3, 4, 1000, 30));
      List<JobId> small = new ArrayList<>();
      List<JobId> large = new ArrayList<>();
      for (int step = 0; step < 130; step++) {
        // Each step submits a quarter more work than all machines can run.
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
        double waited = cluster.tasks.firstStartOf(id).orElse(1e9) - users.submittedAt(id);
        assertTrue(waited < 240, id + " started after " + waited);
      }
      long served = small.stream().filter(id -> cluster.tasks.firstStartOf(id).isPresent()).count();
      assertTrue(served * 2 >= small.size(), "only " + served + " of the small jobs started");
      assertEquals(List.of(), cluster.violations());
    }

    /**
     * The amount of work, measured by counts, depends on the number of changes, not on fleet size.
     */
    @Test
    void workScalesWithChangesNotWithFleetSize() {
      startCluster(81, new SimCluster.Size(5, 70, 4000, 30));
      List<JobId> jobs = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        jobs.add(submit("wk-1" + String.format("%03d", i), "daemon", 6, 4, 0));
      }
      for (int i = 0; i < 12; i++) {
        jobs.add(submit("wk-2" + String.format("%03d", i), "batch", 200, 2, 15));
      }
      run(120);
      for (JobId id : jobs) {
        assertTrue(cluster.tasks.firstStartOf(id).isPresent(), id + " has not started");
      }
      assertTrue(
          cluster.machines.totalProvisioned() > 200,
          "only " + cluster.machines.totalProvisioned() + " machines");
      long changes = cluster.counts.storeChanges();
      long commands = cluster.counts.commandCalls();
      long heartbeats = cluster.counts.heartbeats();
      run(60);
      assertTrue(
          cluster.counts.commandCalls() - commands < 60,
          "direct commands while idle: " + (cluster.counts.commandCalls() - commands));
      assertTrue(
          cluster.counts.storeChanges() - changes < 400,
          "store changes while idle: " + (cluster.counts.storeChanges() - changes));
      assertTrue(cluster.counts.heartbeats() - heartbeats > 2000, "too few heartbeats");
      assertTrue(
          cluster.metrics.maxEvaluations() < 200_000,
          "evaluations in one round: " + cluster.metrics.maxEvaluations());
      int starts = cluster.tasks.starts();
      cluster.controllers.crash(cluster.leader(), 5);
      run(60);
      assertEquals(starts, cluster.tasks.starts(), "tasks were restarted after the failover");
      assertEquals(List.of(), cluster.violations());
    }
  }
}
