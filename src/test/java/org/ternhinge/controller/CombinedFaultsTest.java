package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;
import org.ternhinge.sim.Specs;

/** Two troubles at a time, as they meet on bad days, on virtual time. */
class CombinedFaultsTest {
  private SimCluster world;
  private SimUsers users;

  private void begin(long seed, SimCluster.Size size) {
    world = new SimCluster(seed, 0, size);
    users = new SimUsers(world);
    world.clock.runFor(5);
  }

  private ObjectNode job(String id, String kind, int tasks, double runs) {
    ObjectNode body = Specs.json(id, kind, tasks).put("cpus", 2.0).put("aaetlun_s", runs);
    if (kind.equals("daemon")) {
      body.put("forgang", "production").put("lanvelar", false);
    }
    return body;
  }

  private JobId submit(ObjectNode body) {
    users.submit(body);
    return new JobId(body.get("ref").asText());
  }

  private void run(double seconds) {
    double end = world.clock.seconds() + seconds;
    while (world.clock.seconds() < end - 1e-6) {
      world.clock.runFor(Math.min(3, end - world.clock.seconds()));
      users.pollAll();
    }
  }

  private void holdsAndEnds() {
    run(60);
    users.quiet();
    run(190);
    assertEquals(List.of(), world.violations());
  }

  /**
   * The gap. The state service refuses the leader alone; another takes over and confirms
   * cancellations; then the service is out for everybody for longer than a cancelled task may last,
   * and workers hold to one node.
   */
  @ParameterizedTest(name = "{0} s refused, cancelled {1} s on, {2} s out, reports to {3}")
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
  void aLeaderRefusedAloneAndThenEverybody(
      double refused, double cancelled, double out, String reportsTo) {
    for (long seed = 101; seed < 104; seed++) {
      begin(seed, new SimCluster.Size(3, 4, 60, 30));
      List<JobId> goes = new ArrayList<>();
      goes.add(submit(job("wk-1", "batch", 8, 400)));
      goes.add(submit(job("wk-2", "daemon", 3, 0)));
      goes.add(submit(job("wk-3", "group", 2, 300)));
      goes.add(submit(job("wk-4", "batch", 2, 400)));
      JobId stays = submit(job("wk-5", "daemon", 3, 0));
      run(60);
      for (JobId id : goes) {
        assertTrue(world.tasks.runningTasks(id) > 0, id + " does not run");
      }
      int old = world.leader();
      double from = world.clock.seconds();
      world.stateFaults.refuse(old, refused);
      // The node that leads next is known only then; until then the workers keep to the old one.
      pinTo(reportsTo.equals("follower") ? (old + 1) % 3 : old, refused + out);
      while (world.leader() == old || world.leader() < 0) {
        if (world.clock.seconds() - from >= refused) {
          break;
        }
        world.clock.runFor(0.05);
      }
      boolean another = world.leader() >= 0 && world.leader() != old;
      assertTrue(refused < 7 || another, "nobody else took over");
      if (reportsTo.equals("new") && another) {
        pinTo(world.leader(), refused + out);
      }
      world.clock.after(cancelled, () -> goes.forEach(users::cancel));
      world.clock.after(
          Math.max(0, from + refused - world.clock.seconds()), () -> world.stateFaults.outage(out));
      run(refused + out + 30);
      for (int i = 0; i < 3; i++) {
        world.networkFaults.cutWorkers(i, 0);
      }
      holdsAndEnds();
      for (JobId id : goes) {
        assertEquals("cancelled", users.lastTold(id));
        assertEquals(0, world.tasks.runningTasks(id));
      }
      assertEquals(3, world.tasks.runningTasks(stays));
    }
  }

  /** Workers reach one node only. */
  private void pinTo(int node, double seconds) {
    for (int i = 0; i < 3; i++) {
      world.networkFaults.cutWorkers(i, i == node ? 0 : seconds);
    }
  }

  /** What was sent to a hung machine is executed when it goes on. */
  @ParameterizedTest(name = "hung for {0} s, cancelled after {1} s")
  @CsvSource({"2, 0.5", "5, 1", "12, 1", "20, 3", "23, 1", "23, 20", "30, 1", "44, 5", "44, 40"})
  void cancelledWhileItsMachinesHang(double hang, double after) {
    begin(111, SimCluster.SMALL);
    JobId goes = submit(job("wk-1", "batch", 6, 400));
    JobId stays = submit(job("wk-2", "daemon", 3, 0));
    run(60);
    assertEquals(6, world.tasks.runningTasks(goes));
    world.machineFaults.hangWorkersOf(goes, 8, hang);
    world.clock.runFor(after);
    users.cancel(goes);
    holdsAndEnds();
    assertEquals(0, world.tasks.runningTasks(goes));
    assertEquals(3, world.tasks.runningTasks(stays));
  }

  /** Starts and stops that are held while the machine hangs, over a change of leader. */
  @ParameterizedTest(name = "seed {0}, hung for {1} s")
  @CsvSource({"121, 3", "122, 8", "123, 15", "124, 22", "125, 30"})
  void aHeldStartOverAChangeOfLeader(long seed, double hang) {
    begin(seed, SimCluster.SMALL);
    JobId first = submit(job("wk-1", "batch", 6, 300));
    run(60);
    world.machineFaults.hangWorkersOf(first, 2, hang);
    JobId next = submit(job("wk-2", "batch", 4, 20));
    world.clock.runFor(0.5);
    world.stateFaults.refuse(world.leader(), 9);
    world.clock.runFor(1);
    users.cancel(next);
    holdsAndEnds();
    assertEquals("cancelled", users.lastTold(next));
  }

  /** A report of an earlier session reaches a leader that has never heard of the machine. */
  @ParameterizedTest(name = "held for {0} s")
  @CsvSource({"9", "15", "25", "40"})
  void aLateReportOfAnEarlierSessionAtANewLeader(double held) {
    begin(131, SimCluster.SMALL);
    JobId stays = submit(job("wk-1", "daemon", 4, 0));
    run(60);
    for (var w : world.workersOf(stays)) {
      world.machineFaults.holdReport(w.id(), held);
    }
    world.clock.runFor(4);
    world.machineFaults.cutSomeWorkerWith(stays, 35);
    world.stateFaults.refuse(world.leader(), 9);
    run(60);
    holdsAndEnds();
    assertEquals(4, world.tasks.runningTasks(stays));
  }

  /** A team at its limit, machines that can't be asked, a new leader and a cancellation. */
  @ParameterizedTest(name = "seed {0}, cut {1} s, cancelled after {2} s")
  @CsvSource({"141, 20, 1", "142, 40, 3", "143, 40, 8", "144, 60, 8", "145, 30, 12"})
  void aTeamAtItsLimitOverAChangeOfLeader(long seed, double cut, double after) {
    begin(seed, SimCluster.SMALL);
    JobId goes = submit(job("wk-1", "batch", 6, 400));
    JobId longer = submit(job("wk-2", "batch", 6, 60));
    JobId waits = submit(job("wk-3", "batch", 8, 10));
    run(40);
    assertEquals(12, world.tasks.runningTasks(goes) + world.tasks.runningTasks(longer));
    world.machineFaults.cutSomeWorkerWith(goes, cut);
    world.crash(world.leader(), 3);
    world.clock.runFor(after);
    users.cancel(goes);
    run(150);
    holdsAndEnds();
    assertEquals("done", users.lastTold(longer));
    assertEquals("done", users.lastTold(waits));
  }

  /** Work bound to one zone, arrays too, loses machines there. */
  @ParameterizedTest(name = "{0}, seed {1}")
  @CsvSource({"batch, 151", "batch, 152", "group, 153", "group, 154", "daemon, 155"})
  void workBoundToAZoneLosesMachines(String kind, long seed) {
    begin(seed, new SimCluster.Size(3, 4, 60, 30));
    ObjectNode body = job("wk-1", kind, 3, 60).put("lanvelar", false).put("together", true);
    body.put("svaedi", "west");
    JobId bound = submit(body);
    JobId free = submit(job("wk-2", kind, 3, 60).put("lanvelar", false).put("together", true));
    run(30);
    for (JobId id : List.of(bound, free)) {
      world.machineFaults.cutSomeWorkerWith(id, 50);
      world.machineFaults.hangWorkersOf(id, 1, 10);
    }
    run(20);
    world.crash(world.leader(), 1);
    run(150);
    holdsAndEnds();
    if (!kind.equals("daemon")) {
      assertEquals("done", users.lastTold(bound));
      assertEquals("done", users.lastTold(free));
    }
  }

  /** Reports get nowhere, commands get in; a cancelled task must not live on. */
  @ParameterizedTest(name = "mute {0} s, cancelled after {1} s, leader crashes: {2}")
  @CsvSource({
    "20, 1, false",
    "40, 1, false",
    "60, 20, false",
    "90, 23, false",
    "40, 10, true",
    "90, 20, true"
  })
  void muteMachinesAndACancellation(double mute, double after, boolean crash) {
    begin(161, SimCluster.SMALL);
    JobId goes = submit(job("wk-1", "batch", 6, 400));
    JobId stays = submit(job("wk-2", "daemon", 3, 0));
    run(60);
    world.machineFaults.muteWorkersOf(goes, mute);
    world.clock.runFor(after);
    if (crash) {
      world.crash(world.leader(), 2);
    }
    users.cancel(goes);
    run(mute);
    holdsAndEnds();
    assertEquals(0, world.tasks.runningTasks(goes));
    assertEquals(3, world.tasks.runningTasks(stays));
  }

  /** Ten leaders in two minutes, with and without an outage among them. */
  @ParameterizedTest(name = "seed {0}, outage {1} s, late writes {2}")
  @CsvSource({"171, 0, 0", "172, 30, 0", "173, 50, 0.2", "174, 0, 0.4"})
  void tenLeadersInTwoMinutes(long seed, double outage, double late) {
    begin(seed, SimCluster.SMALL);
    JobId stays = submit(job("wk-1", "daemon", 3, 0));
    JobId array = submit(job("wk-2", "batch", 12, 25));
    JobId goes = submit(job("wk-3", "batch", 3, 400));
    run(15);
    world.stateFaults.refuseLeaders(10, 12, 8);
    world.stateFaults.lateWrites(late, 120);
    world.clock.after(50, () -> users.cancel(goes));
    if (outage > 0) {
      world.clock.after(40, () -> world.stateFaults.outage(outage));
    }
    run(120);
    holdsAndEnds();
    assertEquals("done", users.lastTold(array));
    assertEquals("cancelled", users.lastTold(goes));
    assertEquals(3, world.tasks.runningTasks(stays));
  }

  /** A zone with its controllers is cut off for less and for more than a lease. */
  @ParameterizedTest(name = "{0} for {1} s")
  @CsvSource({"east, 15", "west, 15", "east, 40", "west, 40", "east, 80", "west, 80"})
  void aZoneWithItsControllers(String zone, double seconds) {
    begin(181, new SimCluster.Size(3, 4, 60, 30));
    JobId stays = submit(job("wk-1", "daemon", 4, 0).put("scatter", true));
    JobId goes = submit(job("wk-2", "batch", 8, 400));
    run(60);
    world.networkFaults.cutZone(zone, seconds);
    world.clock.runFor(3);
    users.cancel(goes);
    run(seconds);
    holdsAndEnds();
    assertEquals("cancelled", users.lastTold(goes));
    assertEquals(4, world.tasks.runningTasks(stays));
  }

  /** Cancels, questions and repeats at the very end of a job, with no other trouble. */
  @Test
  void aCancelMeetsTheEndOfTheLastTask() {
    begin(191, SimCluster.SMALL);
    users.cancelAtEnd(1);
    List<JobId> jobs = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      jobs.add(submit(job("wk-1" + String.format("%02d", i), "batch", 1 + i % 3, 5)));
      run(3);
    }
    run(60);
    holdsAndEnds();
    for (JobId id : jobs) {
      String told = users.lastTold(id);
      assertTrue("done".equals(told) || "cancelled".equals(told), id + " is " + told);
    }
  }

  /** The state service answers slowly, then refuses the leader, then everybody. */
  @ParameterizedTest(name = "seed {0}, latency {1} s")
  @CsvSource({"201, 0.4", "202, 0.8", "203, 1.2"})
  void slowThenRefusedThenOut(long seed, double latency) {
    begin(seed, SimCluster.SMALL);
    JobId goes = submit(job("wk-1", "batch", 6, 400));
    JobId stays = submit(job("wk-2", "daemon", 3, 0));
    run(60);
    world.stateFaults.slowState(120, latency);
    run(6);
    world.stateFaults.refuse(world.leader(), 9);
    world.clock.after(7.5, () -> users.cancel(goes));
    world.clock.after(9, () -> world.stateFaults.outage(55));
    run(120);
    holdsAndEnds();
    assertEquals("cancelled", users.lastTold(goes));
    assertEquals(3, world.tasks.runningTasks(stays));
  }

  /** Jobs of a few tasks end far apart, since one of their machines hangs, over a new leader. */
  @ParameterizedTest(name = "seed {0}, {1} tasks, hung for {2} s")
  @CsvSource({"211, 2, 12", "212, 3, 20", "213, 2, 35", "214, 3, 50"})
  void tasksThatEndFarApartOverAChangeOfLeader(long seed, int tasks, double hang) {
    begin(seed, SimCluster.SMALL);
    JobId job = submit(job("wk-1", "batch", tasks, 30).put("cpus", 3.0).put("lanvelar", false));
    run(30);
    world.machineFaults.hangWorkersOf(job, 1, hang);
    run(18);
    world.crash(world.leader(), 1);
    run(90);
    holdsAndEnds();
    assertEquals("done", users.lastTold(job));
  }

  /** No controller is there for longer than a lease. */
  @ParameterizedTest(name = "away for {0} s, cancelled {1} s before")
  @CsvSource({"20, 0.5", "30, 0.02", "30, 0.5", "40, 0.1", "60, 3"})
  void allControllersAway(double away, double before) {
    begin(221, SimCluster.SMALL);
    JobId goes = submit(job("wk-1", "batch", 6, 400));
    JobId stays = submit(job("wk-2", "daemon", 3, 0));
    run(60);
    world.machineFaults.hangWorkersOf(goes, 1, 10);
    users.cancel(goes);
    world.clock.runFor(before);
    for (int i = 0; i < 3; i++) {
      world.crash(i, away + i * 0.3);
    }
    run(away + 60);
    holdsAndEnds();
    assertEquals("cancelled", users.lastTold(goes));
    assertEquals(3, world.tasks.runningTasks(stays));
  }

  /** A leader ends while machines with long tasks can't be reached or don't hear the next one. */
  @ParameterizedTest(name = "{0} for {1} s, leader away for {2} s")
  @CsvSource({
    "cut, 10, 3",
    "cut, 40, 3",
    "cut, 40, 30",
    "mute, 15, 3",
    "mute, 40, 3",
    "hung, 15, 3",
    "hung, 22, 3",
    "hung, 40, 30"
  })
  void aLeaderEndsWhileMachinesAreOutOfReach(String how, double seconds, double away) {
    begin(231, SimCluster.SMALL);
    JobId job = submit(job("wk-1", "batch", 6, 120));
    JobId goes = submit(job("wk-2", "batch", 4, 400));
    run(40);
    for (JobId id : List.of(job, goes)) {
      switch (how) {
        case "cut" -> world.machineFaults.cutSomeWorkerWith(id, seconds);
        case "mute" -> world.machineFaults.muteWorkersOf(id, seconds);
        default -> world.machineFaults.hangWorkersOf(id, 2, seconds);
      }
    }
    world.crash(world.leader(), away);
    world.clock.after(9, () -> users.cancel(goes));
    run(240);
    holdsAndEnds();
    assertEquals("done", users.lastTold(job));
    assertEquals("cancelled", users.lastTold(goes));
  }

  /**
   * More work than room, urgent and not, while each message takes long: places are freed by stops
   * that arrive late, for starts that arrive late, and some of both are called off on the way.
   * Slower still, calls of the state service end before their answers and nobody leads.
   */
  @ParameterizedTest(name = "seed {0}, {1} s each way")
  @CsvSource({"141, 0.1", "142, 0.3", "143, 0.5", "144, 0.8"})
  void moreWorkThanRoomOverSlowLinks(long seed, double slow) {
    begin(seed, SimCluster.SMALL);
    List<JobId> lesser = new ArrayList<>();
    List<JobId> urgent = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      ObjectNode array = Specs.json("wk-1" + i, "batch", 20).put("cpus", 2.0);
      users.submit(array.put("forgang", "low").put("aaetlun_s", 12.0));
      lesser.add(new JobId("wk-1" + i));
    }
    run(30);
    world.networkFaults.slowLinks(slow);
    for (int i = 0; i < 4; i++) {
      ObjectNode array = Specs.json("wk-2" + i, "batch", 8).put("cpus", 2.0).put("aaetlun_s", 8.0);
      users.submit(array.put("forgang", "high").put("eigandi", "blue"));
      urgent.add(new JobId("wk-2" + i));
      ObjectNode service = Specs.json("wk-3" + i, "daemon", 2).put("forgang", "production");
      users.submit(service.put("scatter", true).put("lanvelar", false));
      run(6);
      users.cancel(i % 2 == 0 ? lesser.get(i) : new JobId("wk-3" + (i - 1)));
    }
    run(100);
    for (JobId id : urgent) {
      assertTrue(world.tasks.began(id).isPresent(), id + " has not begun beside lesser work");
    }
    world.networkFaults.slowLinks(0);
    users.cancel(new JobId("wk-31"));
    users.cancel(new JobId("wk-33"));
    holdsAndEnds();
  }

  /** A transaction without an answer is carried out after newer ones of the same controller. */
  @ParameterizedTest(name = "seed {0}, share {1}")
  @CsvSource({"241, 0.2", "242, 0.4", "243, 0.6", "244, 0.4"})
  void lateWritesWhileJobsEndAndAreCancelled(long seed, double share) {
    begin(seed, SimCluster.SMALL);
    users.cancelAtEnd(0.3);
    world.stateFaults.lateWrites(share, 90);
    List<JobId> jobs = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      jobs.add(submit(job("wk-1" + String.format("%02d", i), "batch", 1 + i % 4, 6)));
      run(4);
      if (i % 5 == 4) {
        users.cancel(jobs.get(i - 1));
      }
      if (i == 12) {
        world.crash(world.leader(), 1);
      }
    }
    run(60);
    holdsAndEnds();
    for (JobId id : jobs) {
      String told = users.lastTold(id);
      assertTrue("done".equals(told) || "cancelled".equals(told), id + " is " + told);
    }
  }
}
