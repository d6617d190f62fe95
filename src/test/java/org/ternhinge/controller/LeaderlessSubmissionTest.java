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
 * Users expect an answer within a second also while nobody leads, or while the key-value store
 * refuses only the node that they have reached.
 */
class LeaderlessSubmissionTest {
  private static final double EXPECTED_S = 1;

  private SimCluster world;
  private SimUsers users;
  private final List<Integer> answers = new ArrayList<>();
  private int submitted;

  @BeforeEach
  void aJobIsKnown() {
    world = new SimCluster(17, 0, new SimCluster.Size(5, 2, 24, 21));
    users = new SimUsers(world);
    world.clock.runFor(5);
    users.submit(SubmissionBuilder.job("wk-1", "batch", 1));
    world.clock.runFor(5);
    assertEquals(List.of(new JobId("wk-1")), users.accepted());
  }

  private void submit(int node, boolean dependent) {
    SubmissionBuilder body = SubmissionBuilder.job("wk-" + (100 + ++submitted), "batch", 1);
    List<JobId> named = new ArrayList<>();
    if (dependent) {
      body.dependsOn(List.of(new JobId("wk-1")));
      named.add(new JobId("wk-1"));
    }
    world.jobs.add(body.spec(), named);
    double sent = world.clock.seconds();
    world.controllers.user(
        node,
        new Request("POST", "/submissions", body.bytes()),
        r -> {
          if (world.clock.seconds() - sent <= EXPECTED_S) {
            answers.add(r == null ? 0 : r.status());
          }
        });
  }

  /** A follower alone has a token now and then; its neighbours have some more. */
  @ParameterizedTest(name = "{0} at once, dependent {1}")
  @CsvSource({"3, false", "3, true", "4, false", "4, true"})
  void severalAtOnceAtAFollowerAreAcceptedWhileTheLeaderIsDead(int atOnce, boolean dependent) {
    int leader = world.leader();
    int follower = (leader + 1) % 5;
    world.controllers.crash(leader, 60);
    world.clock.runFor(0.5);
    for (int i = 0; i < atOnce; i++) {
      submit(follower, dependent);
    }
    world.clock.runFor(2);
    assertEquals(leader, world.leader(), "the dead leader's key is still there");
    assertEquals(submitted, answers.stream().filter(s -> s == 201).count(), answers.toString());
  }

  /** Pipelines send several jobs at the same moment; the leader may have tokens for a part. */
  @ParameterizedTest(name = "dependent {0}")
  @CsvSource({"false", "true"})
  void moreThanTheLeaderHasTokensForGoToAllNodes(boolean dependent) {
    int follower = (world.leader() + 1) % 5;
    for (int i = 0; i < 16; i++) {
      submit(follower, dependent);
    }
    world.clock.runFor(2);
    assertEquals(submitted, answers.stream().filter(s -> s == 201).count(), answers.toString());
  }

  /** The other nodes can write, so this one relays its submissions. */
  @ParameterizedTest(name = "leader {0}, {1} s before, dependent {2}")
  @CsvSource({
    "true,  0.5, false",
    "true,  0.5, true",
    "true,  10,  false",
    "true,  10,  true",
    "false, 0.5, false",
    "false, 10,  true",
  })
  void aNodeThatTheStoreRefusesRelaysItsSubmissions(
      boolean leading, double before, boolean dependent) {
    int node = leading ? world.leader() : (world.leader() + 1) % 5;
    world.storeFaults.refuse(node, 30);
    world.clock.runFor(before);
    submit(node, dependent);
    world.clock.runFor(2);
    assertEquals(List.of(201), answers);
  }

  /** In an outage of the key-value store nobody can accept: the answer comes at once. */
  @ParameterizedTest(name = "dependent {0}")
  @CsvSource({"false", "true"})
  void anOutageIsAnsweredAtOnce(boolean dependent) {
    world.storeFaults.outage(10);
    world.clock.runFor(0.5);
    submit((world.leader() + 1) % 5, dependent);
    world.clock.runFor(2);
    assertEquals(List.of(503), answers);
    assertNotEquals(-1, world.leader());
  }
}
