package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.http.Request;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;
import org.ternhinge.sim.SubmissionBuilder;

/**
 * Submissions are answered within a second even while no node leads, or while the key-value store
 * refuses only the node that the user reached.
 */
class LeaderlessSubmissionTest {
  private static final double MAX_ANSWER_S = 1;

  private SimCluster cluster;
  private SimUsers users;
  private final List<Integer> answers = new ArrayList<>();
  private int submitted;

  @BeforeEach
  void submitKnownJob() {
    cluster = new SimCluster(17, 0, new SimCluster.Size(5, 2, 24, 21));
    users = new SimUsers(cluster);
    cluster.clock.runFor(5);
    users.submit(SubmissionBuilder.job("wk-1", "batch", 1));
    cluster.clock.runFor(5);
    assertEquals(List.of(new JobId("wk-1")), users.accepted());
  }

  private void submit(int node, boolean dependent) {
    SubmissionBuilder body = SubmissionBuilder.job("wk-" + (100 + ++submitted), "batch", 1);
    List<JobId> dependencies = new ArrayList<>();
    if (dependent) {
      body.dependsOn(List.of(new JobId("wk-1")));
      dependencies.add(new JobId("wk-1"));
    }
    cluster.jobs.add(body.spec(), dependencies);
    double sentAt = cluster.clock.seconds();
    cluster.controllers.user(
        node,
        new Request("POST", "/submissions", body.bytes()),
        r -> {
          if (cluster.clock.seconds() - sentAt <= MAX_ANSWER_S) {
            answers.add(r == null ? 0 : r.status());
          }
        });
  }

  /**
   * A follower alone rarely has a write token for each submission; the other followers supply more.
   */
  @ParameterizedTest(name = "{0} concurrent, dependent {1}")
  @CsvSource({"3, false", "3, true", "4, false", "4, true"})
  void concurrentSubmissionsAreAcceptedAfterLeaderCrash(int concurrent, boolean dependent) {
    int leader = cluster.leader();
    int follower = (leader + 1) % 5;
    cluster.controllers.crash(leader, 60);
    cluster.clock.runFor(0.5);
    for (int i = 0; i < concurrent; i++) {
      submit(follower, dependent);
    }
    cluster.clock.runFor(2);
    assertEquals(leader, cluster.leader(), "the crashed leader's key has not expired");
    assertEquals(submitted, answers.stream().filter(s -> s == 201).count(), answers.toString());
  }

  /**
   * Pipelines submit several jobs at the same moment; the leader may have write tokens for only
   * some.
   */
  @ParameterizedTest(name = "dependent {0}")
  @CsvSource({"false", "true"})
  void submissionsBeyondLeaderTokensGoToAllNodes(boolean dependent) {
    int follower = (cluster.leader() + 1) % 5;
    for (int i = 0; i < 16; i++) {
      submit(follower, dependent);
    }
    cluster.clock.runFor(2);
    assertEquals(submitted, answers.stream().filter(s -> s == 201).count(), answers.toString());
  }

  /** The other nodes can write to the store, so the refused node relays its submissions to them. */
  @ParameterizedTest(name = "leader {0}, refused {1} s before, dependent {2}")
  @CsvSource({
    "true,  0.5, false",
    "true,  0.5, true",
    "true,  10,  false",
    "true,  10,  true",
    "false, 0.5, false",
    "false, 10,  true",
  })
  void nodeRefusedByStoreRelaysSubmissions(boolean leading, double refusedForS, boolean dependent) {
    int node = leading ? cluster.leader() : (cluster.leader() + 1) % 5;
    cluster.storeFaults.refuse(node, 30);
    cluster.clock.runFor(refusedForS);
    submit(node, dependent);
    cluster.clock.runFor(2);
    assertEquals(List.of(201), answers);
  }

  /**
   * In an outage of the key-value store no node can accept jobs; the answer is an immediate 503.
   */
  @ParameterizedTest(name = "dependent {0}")
  @CsvSource({"false", "true"})
  void storeOutageIsAnsweredAtOnce(boolean dependent) {
    cluster.storeFaults.outage(10);
    cluster.clock.runFor(0.5);
    submit((cluster.leader() + 1) % 5, dependent);
    cluster.clock.runFor(2);
    assertEquals(List.of(503), answers);
    assertNotEquals(-1, cluster.leader());
  }
}
