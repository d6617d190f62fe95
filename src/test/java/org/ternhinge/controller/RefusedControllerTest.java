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

/** A controller that the key-value store alone refuses, or that is cut off from others. */
class RefusedControllerTest {
  /** Six seconds of lease, and what the next leader takes to claim it and to load. */
  private static final double FAILOVER_S = 10;

  /** A command, the fetch of an image, and some more. */
  private static final double STARTS_S = 4;

  private final DependentJobs cluster =
      DependentJobs.withoutAnnouncedLimits(47, new SimCluster.Size(5, 4, 100, 30));

  private List<JobId> submitJobs() {
    List<JobId> jobs = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      jobs.add(cluster.submit("wk-1" + i, 4, 200));
    }
    cluster.run(15);
    return jobs;
  }

  /**
   * The node that led can't read who leads now. It answered its users 503 for as long as it was
   * refused; now it finds the leader by asking the others.
   */
  @ParameterizedTest(name = "refused for {0} s")
  @CsvSource({"30", "90"})
  void itsUsersAreServed(double seconds) {
    List<JobId> jobs = submitJobs();
    int refused = cluster.world.leader();
    cluster.world.storeFaults.refuse(refused, seconds);
    cluster.run(FAILOVER_S);
    assertNotEquals(refused, cluster.world.leader());
    for (JobId job : jobs) {
      String state = cluster.stateAt(refused, job);
      assertTrue(Set.of("queued", "running").contains(state), job + ": " + state);
    }
    List<Double> cancelledAt = new ArrayList<>();
    cluster.users.cancelAt(
        refused, jobs.get(0), () -> cancelledAt.add(cluster.world.clock.seconds()));
    cluster.run(3);
    assertEquals(1, cancelledAt.size(), "a cancellation is confirmed");
    cluster.run(seconds - FAILOVER_S + 2);
    cluster.assertNoRuleBroken();
  }

  /** Leadership moves once, to a node that can serve, and stays there. */
  @ParameterizedTest(name = "{0} for {1} s")
  @CsvSource({"refused,60", "alone,60", "from workers,60", "refused,8"})
  void leadershipChangesAtMostOnce(String fault, double seconds) {
    submitJobs();
    // Leaves machines that idle, so that the next job waits for no boot.
    cluster.submit("wk-19", 4, 2);
    cluster.run(25);
    int before = cluster.world.counts.leaderships();
    int leader = cluster.world.leader();
    switch (fault) {
      case "refused" -> cluster.world.storeFaults.refuse(leader, seconds);
      case "alone" -> cluster.world.networkFaults.isolate(leader, seconds);
      default -> cluster.world.networkFaults.isolateFromWorkers(leader, seconds);
    }
    cluster.run(FAILOVER_S);
    int starts = cluster.world.tasks.starts();
    cluster.submit("wk-20", 4, 5);
    cluster.run(STARTS_S);
    assertTrue(cluster.world.tasks.starts() >= starts + 4, "work starts again in time");
    cluster.run(seconds + 10);
    int changes = cluster.world.counts.leaderships() - before;
    assertTrue(changes <= 1, changes + " changes of leader");
    assertEquals("done", cluster.users.lastState(new JobId("wk-20")));
    cluster.assertNoRuleBroken();
  }

  /** While nobody leads, a question costs few messages, however often it is asked. */
  @ParameterizedTest(name = "{0} questions at once")
  @CsvSource({"1", "100"})
  void aSearchThatFindsNobodyIsNotRepeatedAtOnce(int questions) {
    submitJobs();
    cluster.world.storeFaults.outage(60);
    cluster.run(40);
    List<Integer> answers = new ArrayList<>();
    for (int i = 0; i < questions; i++) {
      cluster.world.controllers.user(
          0,
          new Request("GET", "/submissions/wk-11", new byte[0]),
          response -> answers.add(response == null ? 0 : response.status()));
    }
    cluster.world.clock.runFor(2);
    assertEquals(questions, answers.size(), "each is answered at once");
    cluster.run(40);
    cluster.assertNoRuleBroken();
  }
}
