package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SubmissionBuilder;

/**
 * When a job that waits starts: never before the key-value store holds the end of each job that it
 * depends on, and as soon as it does; until then it takes nothing from others.
 */
class DependencyStartTest {

  /**
   * A fault begins when the tasks of the first job have ended and their end is not yet written.
   *
   * @param withinS seconds from the durable end to the start, of which the image takes one; a new
   *     leader first waits for the lease of the old one
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "nothing, 3",
    "late writes, 3",
    "outage, 3",
    "leader refused, 12",
    "leader crashes, 12",
    "all crash, 12"
  })
  void aStartFollowsTheDurableEnd(String fault, double withinS) {
    for (long seed = 511; seed < 515; seed++) {
      DependentJobs cluster = new DependentJobs(seed);
      SimCluster world = cluster.world;
      JobId first = cluster.submit("wk-1", 2, 12);
      JobId second = cluster.submit("wk-2", 2, 5, first);
      cluster.run(12);
      assertEquals("queued", cluster.users.lastState(second));
      while (!world.jobs.allCompleted(first)) {
        world.clock.runFor(0.01);
      }
      assertNull(world.store.value("f/wk-1"), "the end is not written yet");
      begin(world, fault);
      double limit = world.clock.seconds() + 90;
      while (world.store.value("f/wk-1") == null && world.clock.seconds() < limit) {
        assertEquals(0, world.tasks.runningTasks(second), "runs before the end is durable");
        assertFalse(
            world.tasks.firstStartOf(second).isPresent(), "has run before the end is durable");
        world.clock.runFor(0.02);
      }
      double durableAt = world.clock.seconds();
      cluster.run(40);
      double began = world.tasks.firstStartOf(second).orElse(Double.MAX_VALUE);
      assertTrue(began >= durableAt - 0.02, "began at " + began + ", end durable at " + durableAt);
      assertTrue(
          began <= durableAt + withinS, "began at " + began + ", end durable at " + durableAt);
      cluster.assertAllDoneAfter(60);
    }
  }

  private static void begin(SimCluster world, String fault) {
    int leader = world.leader();
    switch (fault) {
      case "nothing" -> {}
      case "late writes" -> world.storeFaults.delayWrites(1, 6);
      case "outage" -> world.storeFaults.outage(15);
      case "leader refused" -> world.storeFaults.refuse(leader, 20);
      case "leader crashes" -> world.controllers.crash(leader, 2);
      case "all crash" -> {
        for (int node = 0; node < 3; node++) {
          world.controllers.crash(node, 2 + node * 0.3);
        }
      }
      default -> throw new IllegalArgumentException(fault);
    }
  }

  /**
   * The end of only one of two dependencies is durable: the job goes on waiting, also under the
   * next leader.
   */
  @ParameterizedTest(name = "leader crashes: {0}")
  @CsvSource({"false", "true"})
  void oneOfTwoEndsIsNotEnough(boolean crash) {
    DependentJobs cluster = new DependentJobs(521);
    JobId shorter = cluster.submit("wk-1", 1, 5);
    JobId longer = cluster.submit("wk-2", 1, 60);
    JobId both = cluster.submit("wk-3", 2, 5, shorter, longer);
    cluster.run(25);
    assertEquals("done", cluster.users.lastState(shorter));
    if (crash) {
      cluster.world.controllers.crash(cluster.world.leader(), 2);
    }
    cluster.run(20);
    assertEquals("running", cluster.users.lastState(longer));
    assertEquals("queued", cluster.users.lastState(both));
    assertFalse(cluster.world.tasks.firstStartOf(both).isPresent());
    cluster.assertAllDoneAfter(150);
  }

  /**
   * What a waiting job will need is no part of its team's guarantee: another job of the team gets
   * all of it from the work that a second team runs beyond its own guarantee.
   */
  @Test
  void aWaitingJobHoldsNoPartOfTheGuarantee() {
    // 16 CPUs on the machines that these jobs allow, of which each team is guaranteed 8.
    DependentJobs cluster = new DependentJobs(531, 0, new SimCluster.Size(3, 1, 200, 30));
    JobId fills = submitOnSmall(cluster, "wk-1", "blue", 8, 400);
    cluster.run(60);
    assertEquals(8, cluster.world.tasks.runningTasks(fills), "the other team fills the machines");
    JobId first = submitOnSmall(cluster, "wk-2", "red", 1, 200);
    JobId waits = cluster.submit("wk-3", 4, 5, first);
    JobId within = submitOnSmall(cluster, "wk-4", "red", 3, 30);
    cluster.run(25);
    assertEquals(1, cluster.world.tasks.runningTasks(first));
    assertEquals(3, cluster.world.tasks.startsOf(within), "its team's guarantee has room for it");
    assertEquals("queued", cluster.users.lastState(waits));
    cluster.users.cancel(fills);
    cluster.run(400);
    cluster.assertNoRuleBroken();
    assertEquals("done", cluster.users.lastState(waits));
  }

  private static JobId submitOnSmall(
      DependentJobs cluster, String id, String team, int tasks, double runs) {
    SubmissionBuilder body = DependentJobs.job(id, tasks, runs, List.of()).team(team);
    body.machineTypes("small");
    cluster.users.submit(body);
    return body.id();
  }
}
