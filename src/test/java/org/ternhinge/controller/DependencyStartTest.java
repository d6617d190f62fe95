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
 * A dependent job starts as soon as the ends of all its dependencies are stored in the key-value
 * store, never before; until then it uses no capacity.
 */
class DependencyStartTest {

  /**
   * The fault is injected after the tasks of the dependency have ended and before that end is
   * written.
   *
   * @param withinS longest time from the durable end to the start, in seconds; one second is for
   *     the image, and a new leader first waits for the lease of the old one
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
  void dependentStartsOnlyAfterDurableEnd(String fault, double withinS) {
    for (long seed = 511; seed < 515; seed++) {
      ClusterFixture cluster = new ClusterFixture(seed);
      SimCluster simulation = cluster.simulation;
      JobId first = cluster.submit("wk-1", 2, 12);
      JobId second = cluster.submit("wk-2", 2, 5, first);
      cluster.run(12);
      assertEquals("queued", cluster.users.lastState(second));
      while (!simulation.jobs.allCompleted(first)) {
        simulation.clock.runFor(0.01);
      }
      assertNull(simulation.store.value("f/wk-1"), "the end is already written");
      injectFault(simulation, fault);
      double limit = simulation.clock.seconds() + 90;
      while (simulation.store.value("f/wk-1") == null && simulation.clock.seconds() < limit) {
        assertEquals(
            0, simulation.tasks.runningTasks(second), "dependent runs before the end is durable");
        assertFalse(
            simulation.tasks.firstStartOf(second).isPresent(),
            "dependent ran before the end was durable");
        simulation.clock.runFor(0.02);
      }
      double durableAt = simulation.clock.seconds();
      cluster.run(40);
      double began = simulation.tasks.firstStartOf(second).orElse(Double.MAX_VALUE);
      assertTrue(began >= durableAt - 0.02, "began at " + began + ", end durable at " + durableAt);
      assertTrue(
          began <= durableAt + withinS, "began at " + began + ", end durable at " + durableAt);
      cluster.assertAllDoneAfter(60);
    }
  }

  private static void injectFault(SimCluster simulation, String fault) {
    int leader = simulation.leader();
    switch (fault) {
      case "nothing" -> {}
      case "late writes" -> simulation.storeFaults.delayWrites(1, 6);
      case "outage" -> simulation.storeFaults.outage(15);
      case "leader refused" -> simulation.storeFaults.refuse(leader, 20);
      case "leader crashes" -> simulation.controllers.crash(leader, 2);
      case "all crash" -> {
        for (int node = 0; node < 3; node++) {
          simulation.controllers.crash(node, 2 + node * 0.3);
        }
      }
      default -> throw new IllegalArgumentException(fault);
    }
  }

  /**
   * While the end of only one of two dependencies is durable, the job keeps waiting, also under the
   * next leader.
   */
  @ParameterizedTest(name = "leader crashes: {0}")
  @CsvSource({"false", "true"})
  void jobWaitsUntilAllDependenciesAreDurable(boolean crash) {
    ClusterFixture cluster = new ClusterFixture(521);
    JobId shorter = cluster.submit("wk-1", 1, 5);
    JobId longer = cluster.submit("wk-2", 1, 60);
    JobId dependent = cluster.submit("wk-3", 2, 5, shorter, longer);
    cluster.run(25);
    assertEquals("done", cluster.users.lastState(shorter));
    if (crash) {
      cluster.simulation.controllers.crash(cluster.simulation.leader(), 2);
    }
    cluster.run(20);
    assertEquals("running", cluster.users.lastState(longer));
    assertEquals("queued", cluster.users.lastState(dependent));
    assertFalse(cluster.simulation.tasks.firstStartOf(dependent).isPresent());
    cluster.assertAllDoneAfter(150);
  }

  /**
   * A waiting job uses none of its team's guarantee: another job of the team gets all of it by
   * preempting tasks that a second team runs beyond its own guarantee.
   */
  @Test
  void waitingJobUsesNoneOfTheGuarantee() {
    // The machines that these jobs allow have 16 CPUs, of which each team is guaranteed 8.
    ClusterFixture cluster = new ClusterFixture(531, 0, new SimCluster.Size(3, 1, 200, 30));
    JobId otherTeamJob = submitOnSmall(cluster, "wk-1", "blue", 8, 400);
    cluster.run(60);
    assertEquals(
        8,
        cluster.simulation.tasks.runningTasks(otherTeamJob),
        "tasks of the other team, which fill the machines");
    JobId first = submitOnSmall(cluster, "wk-2", "red", 1, 200);
    JobId waitingJob = cluster.submit("wk-3", 4, 5, first);
    JobId guaranteedJob = submitOnSmall(cluster, "wk-4", "red", 3, 30);
    cluster.run(25);
    assertEquals(1, cluster.simulation.tasks.runningTasks(first));
    assertEquals(
        3,
        cluster.simulation.tasks.startsOf(guaranteedJob),
        "tasks started within the team's guarantee");
    assertEquals("queued", cluster.users.lastState(waitingJob));
    cluster.users.cancel(otherTeamJob);
    cluster.run(400);
    cluster.assertNoViolations();
    assertEquals("done", cluster.users.lastState(waitingJob));
  }

  private static JobId submitOnSmall(
      ClusterFixture cluster, String id, String team, int tasks, double runS) {
    SubmissionBuilder body = ClusterFixture.job(id, tasks, runS, List.of()).team(team);
    body.machineTypes("small");
    cluster.users.submit(body);
    return body.id();
  }
}
