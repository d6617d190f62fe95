package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.http.Request;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;

/** A controller that the key-value store refuses while it serves the others, or that is cut off. */
class RefusedControllerTest {
  /**
   * Six seconds of lease, plus the time for the next leader to claim it and to load the records.
   */
  private static final double MAX_FAILOVER_S = 10;

  /** A command and the pull of an image, with a margin. */
  private static final double MAX_START_S = 4;

  private final ClusterFixture cluster =
      ClusterFixture.withoutAnnouncedLimits(47, new SimCluster.Size(5, 4, 100, 30));

  private List<JobId> submitJobs() {
    List<JobId> jobs = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      jobs.add(cluster.submit("wk-1" + i, 4, 200));
    }
    cluster.run(15);
    return jobs;
  }

  /**
   * The former leader can't read from the store which node leads, so it has to find the leader by
   * asking the other nodes. Without that it would answer 503 for as long as the store refuses it.
   */
  @ParameterizedTest(name = "refused for {0} s")
  @CsvSource({"30", "90"})
  void usersOfRefusedNodeAreServed(double seconds) {
    List<JobId> jobs = submitJobs();
    int refused = cluster.simulation.leader();
    cluster.simulation.storeFaults.refuse(refused, seconds);
    cluster.run(MAX_FAILOVER_S);
    assertNotEquals(refused, cluster.simulation.leader());
    for (JobId job : jobs) {
      String state = cluster.stateAt(refused, job);
      assertTrue(Set.of("queued", "running").contains(state), job + ": " + state);
    }
    List<Double> cancelledAt = new ArrayList<>();
    cluster.users.cancelAt(
        refused, jobs.get(0), () -> cancelledAt.add(cluster.simulation.clock.seconds()));
    cluster.run(3);
    assertEquals(1, cancelledAt.size(), "confirmed cancellations");
    cluster.run(seconds - MAX_FAILOVER_S + 2);
    cluster.assertNoViolations();
  }

  /** Leadership moves at most once, to a node that can serve, and stays there. */
  @ParameterizedTest(name = "{0} for {1} s")
  @CsvSource({"refused,60", "alone,60", "from workers,60", "refused,8"})
  void leadershipChangesAtMostOnce(String fault, double seconds) {
    submitJobs();
    // Leaves idle machines, so that the next job need not wait for machines to boot.
    cluster.submit("wk-19", 4, 2);
    cluster.run(25);
    int before = cluster.simulation.counts.leaderships();
    int leader = cluster.simulation.leader();
    switch (fault) {
      case "refused" -> cluster.simulation.storeFaults.refuse(leader, seconds);
      case "alone" -> cluster.simulation.networkFaults.isolate(leader, seconds);
      default -> cluster.simulation.networkFaults.isolateFromWorkers(leader, seconds);
    }
    cluster.run(MAX_FAILOVER_S);
    int starts = cluster.simulation.tasks.starts();
    cluster.submit("wk-20", 4, 5);
    cluster.run(MAX_START_S);
    assertTrue(
        cluster.simulation.tasks.starts() >= starts + 4,
        "too few tasks started after the failover");
    cluster.run(seconds + 10);
    int changes = cluster.simulation.counts.leaderships() - before;
    assertTrue(changes <= 1, changes + " leadership changes");
    assertEquals("done", cluster.users.lastState(new JobId("wk-20")));
    cluster.assertNoViolations();
  }

  /**
   * While no node leads, queries are answered at once, and repeated queries cause no repeated
   * search.
   */
  @ParameterizedTest(name = "{0} concurrent queries")
  @CsvSource({"1", "100"})
  void failedLeaderSearchIsNotRepeatedAtOnce(int queries) {
    submitJobs();
    cluster.simulation.storeFaults.outage(60);
    cluster.run(40);
    List<Integer> answers = new ArrayList<>();
    for (int i = 0; i < queries; i++) {
      cluster.simulation.controllers.user(
          0,
          new Request("GET", "/submissions/wk-11", new byte[0]),
          response -> answers.add(response == null ? 0 : response.status()));
    }
    cluster.simulation.clock.runFor(2);
    assertEquals(queries, answers.size(), "answered queries");
    cluster.run(40);
    cluster.assertNoViolations();
  }
}
