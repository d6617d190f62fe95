package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;
import org.ternhinge.sim.Specs;

/** What is checked at a day's end, one trouble at a time, on virtual time. */
class EndOfDayChecksTest {
  private SimCluster world;
  private SimUsers users;

  private void begin(long seed, SimCluster.Size size) {
    world = new SimCluster(seed, 0, size);
    users = new SimUsers(world);
    world.clock.runFor(5);
  }

  private JobId submit(String id, String kind, int tasks, double cpus, double runs) {
    ObjectNode body = Specs.json(id, kind, tasks).put("cpus", cpus).put("aaetlun_s", runs);
    if (kind.equals("daemon")) {
      body.put("forgang", "production").put("lanvelar", false);
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

  /** Runs until a job is told done, and says how long that took. */
  private double untilDone(JobId id, double most) {
    double from = world.clock.seconds();
    while (!"done".equals(users.lastTold(id)) && world.clock.seconds() - from < most) {
      run(3);
    }
    return world.clock.seconds() - from;
  }

  @Test
  void aMachineThatHearsNothingIsLeftOutAndUsedAgainWhenHealed() {
    begin(51, new SimCluster.Size(3, 1, 1000, 30));
    submit("wk-1", "batch", 160, 1, 8);
    run(40);
    var deaf = world.machineFaults.deafenSomeWorker(200);
    // Its epoch lapses while its heartbeats arrive; whatever is placed there would wait for ever.
    submit("wk-2", "batch", 160, 1, 8);
    run(60);
    int sent = world.tasks.startsSentTo(deaf.id());
    submit("wk-3", "batch", 160, 1, 8);
    run(60);
    assertEquals(sent, world.tasks.startsSentTo(deaf.id()), "nothing goes there any more");
    run(150);
    int before = world.tasks.startsOn(deaf.id());
    untilDone(submit("wk-4", "batch", 160, 1, 8), 120);
    boolean replaced = !world.isLive(deaf.id());
    assertTrue(replaced || world.tasks.startsOn(deaf.id()) > before, "healed and not used again");
    assertEquals(List.of(), world.violations());
  }

  @Test
  void workOfASilentMachineStartsElsewhereWhenItsLeaseIsOver() {
    begin(55, SimCluster.SMALL);
    JobId stays = submit("wk-1", "daemon", 4, 2, 0);
    run(60);
    assertEquals(4, world.tasks.runningTasks(stays));
    // A heartbeat that is held back and comes late counts as a sign of life, and rightly so: the
    // answer
    // to it may have been heard in time. Whether one comes is the seed's luck, so here none does.
    world.networkFaults.cutsLose();
    world.machineFaults.cutSomeWorkerWith(stays, 200);
    // Its grace and lease end within 45 s; what it showed last must not block its tasks for longer.
    run(36);
    assertEquals(4, world.tasks.runningTasks(stays));
    assertEquals(List.of(), world.violations());
  }

  @Test
  void aLateCopyDoesNotReviveAReturnedMachine() {
    begin(52, SimCluster.SMALL);
    untilDone(submit("wk-1", "batch", 16, 2, 5), 120);
    run(120);
    List<MachineId> gone = world.goneMachines();
    assertTrue(!gone.isEmpty(), "idle machines are returned");
    gone.forEach(world.machineFaults::repeatHeartbeat);
    // A service may not run on spot machines; the copies are of ordinary ones and of spot ones.
    JobId next = submit("wk-2", "batch", 4, 2, 5);
    double took = untilDone(next, 120);
    assertTrue(took < 30, "placed on what is gone, it would wait out a lease; it took " + took);
    assertEquals(List.of(), world.violations());
  }

  /** Shorter and longer than the grace, with a cancellation under way. */
  @ParameterizedTest(name = "leader {0}, {1} s")
  @CsvSource({"true, 12", "true, 60", "false, 12", "false, 60"})
  void aControllerThatKeepsOnlyItsWorkers(boolean leader, double seconds) {
    begin(53, SimCluster.SMALL);
    JobId stays = submit("wk-1", "daemon", 3, 2, 0);
    JobId goes = submit("wk-2", "batch", 4, 1, 300);
    run(60);
    assertEquals(3, world.tasks.runningTasks(stays));
    assertEquals(4, world.tasks.runningTasks(goes));
    int starts = world.tasks.starts();
    world.networkFaults.cutOff(leader ? world.leader() : (world.leader() + 1) % 3, seconds);
    users.cancel(goes);
    run(seconds + 30);
    users.quiet();
    run(90);
    assertEquals(3, world.tasks.runningTasks(stays));
    assertEquals(0, world.tasks.runningTasks(goes));
    assertEquals("cancelled", users.lastTold(goes));
    assertEquals(starts, world.tasks.starts(), "no running task was lost by it");
    assertEquals(List.of(), world.violations());
  }

  /**
   * Who can only say 503 must not hold users. An outage meets all nodes, and is no reason: while
   * all are unhealthy nobody is served.
   */
  @ParameterizedTest(name = "{0}: health {1}")
  @CsvSource({"leader alone, 503", "follower alone, 503", "outage, 200", "refused alone, 200"})
  void aNodeThatCanAnswerNobodyIsUnhealthy(String trouble, int status) {
    begin(56, SimCluster.SMALL);
    run(10);
    int node = trouble.startsWith("follower") ? (world.leader() + 1) % 3 : world.leader();
    switch (trouble) {
      case "outage" -> world.stateFaults.outage(30);
      case "refused alone" -> world.stateFaults.refuse(node, 30);
      default -> world.networkFaults.cutOff(node, 30);
    }
    run(12);
    assertEquals(status, world.answerTo(node, "GET", "/healthz", new byte[0]).status());
    run(24);
    assertEquals(200, world.answerTo(node, "GET", "/healthz", new byte[0]).status(), "healed");
  }

  /** What is over needs no leader to be told. */
  @Test
  void aCancelOfADoneJobIsAnsweredWhileNobodyLeads() {
    begin(57, SimCluster.SMALL);
    JobId job = submit("wk-1", "batch", 2, 1, 5);
    untilDone(job, 60);
    int leader = world.leader();
    world.stateFaults.refuse(leader, 30);
    world.clock.runFor(5.9);
    String path = "/submissions/" + job + "/cancel";
    var answer = world.answerTo((leader + 1) % 3, "POST", path, new byte[0]);
    assertEquals(200, answer.status());
    assertTrue(new String(answer.body(), StandardCharsets.UTF_8).contains("\"done\""));
  }

  /** All processes end again and again, also while they elect, and are back at once. */
  @ParameterizedTest(name = "seed {0}")
  @CsvSource({"61", "62", "63", "64"})
  void backWithinAFractionOfASecondInMidElection(long seed) {
    begin(seed, SimCluster.SMALL);
    JobId stays = submit("wk-1", "daemon", 3, 2, 0);
    JobId array = submit("wk-2", "batch", 30, 1, 10);
    run(20);
    world.machineFaults.copyHeartbeats(0.5, 40);
    for (int i = 0; i < 12; i++) {
      for (int n = 0; n < 3; n++) {
        world.crash(n, 0.05 + world.nextInt(6) / 20.0);
      }
      world.clock.runFor(0.2 + world.nextInt(20) / 10.0);
    }
    users.quiet();
    run(150);
    assertEquals(3, world.tasks.runningTasks(stays));
    assertEquals("done", users.lastTold(array));
    assertEquals(List.of(), world.violations());
  }

  /** Small work without end must not starve the largest, and every kind gets its part. */
  @Test
  void theLargestBeginWithinFourMinutesBesideSmallWorkWithoutEnd() {
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
        ObjectNode gang = Specs.json("wk-300", "group", 4).put("cpus", 14.0).put("aaetlun_s", 20.0);
        users.submit(gang.put("accelerators", 2.0).put("together", true).put("lanvelar", false));
        large.add(new JobId("wk-300"));
      }
      run(3);
    }
    for (JobId id : large) {
      double waited = world.tasks.began(id).orElse(1e9) - users.submittedAt(id);
      assertTrue(waited < 240, id + " began after " + waited);
    }
    long served = small.stream().filter(id -> world.tasks.began(id).isPresent()).count();
    assertTrue(served * 2 >= small.size(), "only " + served + " of the small ones");
    assertEquals(List.of(), world.violations());
  }

  /** Work is bounded by counts at the grown size: it follows what changes, not the fleet's size. */
  @Test
  void hundredsOfMachinesWithFiveControllers() {
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
      assertTrue(world.tasks.began(id).isPresent(), id + " has not begun");
    }
    assertTrue(world.machinesMade() > 200, "only " + world.machinesMade() + " machines");
    long changes = world.counts.stateChanges();
    long orders = world.counts.commandCalls();
    long heartbeats = world.counts.heartbeats();
    run(60);
    assertTrue(
        world.counts.commandCalls() - orders < 60,
        "quiet, yet orders " + (world.counts.commandCalls() - orders));
    assertTrue(
        world.counts.stateChanges() - changes < 400,
        "quiet, yet changes " + (world.counts.stateChanges() - changes));
    assertTrue(world.counts.heartbeats() - heartbeats > 2000, "machines report");
    assertTrue(
        world.metrics.mostEvaluations() < 200_000, "a round of " + world.metrics.mostEvaluations());
    int starts = world.tasks.starts();
    world.crash(world.leader(), 5);
    run(60);
    assertEquals(starts, world.tasks.starts(), "a change of leader costs no running task");
    assertEquals(List.of(), world.violations());
  }
}
