package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SubmissionBuilder;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/**
 * A submission that can't be accepted is answered without delay: 400 for a malformed list, 422 for
 * jobs that may not be dependencies, 503 with a retry time where the node can't decide. A known job
 * is answered with its state before anything is validated.
 */
class DependencyRefusalTest {
  /** Allows for a few calls that take milliseconds each, in rare cases some hundred. */
  private static final double MAX_ANSWER_S = 1.5;

  private ClusterFixture cluster;

  private void startCluster(long seed) {
    cluster = new ClusterFixture(seed);
    cluster.submit("wk-1", 1, 300);
    SubmissionBuilder service = ClusterFixture.job("wk-5", 1, 0, List.of()).kind("daemon");
    cluster.users.submit(service.spotAllowed(false));
    cluster.run(15);
    assertEquals("running", cluster.users.lastState(new JobId("wk-1")));
  }

  /**
   * Encodes a submission with the given dependency list.
   *
   * @param list JSON with single quotes for double ones and semicolons for commas; {@code LONG} for
   *     a list that exceeds the size of a record
   */
  private static byte[] body(String id, String list) throws WireException {
    SubmissionBuilder body = ClusterFixture.job(id, 1, 5, List.of());
    if (list.equals("LONG")) {
      body.dependsOn(
          IntStream.range(0, 1000).mapToObj(i -> new JobId(String.format("wk-%07d", i))).toList());
    } else {
      String json = list.replace('\'', '"').replace(';', ',');
      body.rawDependencies(Json.parse(json.getBytes(StandardCharsets.UTF_8)));
    }
    return body.bytes();
  }

  private void assertImmediateAnswer(int status, int node, byte[] body) {
    ClusterFixture.TimedResponse answer = cluster.submitTo(node, body);
    assertEquals(status, answer.response().status(), "node " + node);
    assertTrue(answer.seconds() <= MAX_ANSWER_S, "answered after " + answer.seconds() + " s");
  }

  /** Every node refuses the list without delay and stores nothing. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "{}, 400",
    "{'wk-1':true}, 400",
    "7, 400",
    "true, 400",
    "'wk-1', 400",
    "[null], 400",
    "[17], 400",
    "['wk-1';{}], 400",
    "['no id'], 400",
    "['wk-1';'wk-'], 400",
    "['wk-9'], 422",
    "['wk-1';'wk-9'], 422",
    "['wk-5'], 422",
    "['wk-404'], 422",
    "LONG, 422"
  })
  void invalidListIsRefusedAtEveryNode(String list, int status) throws WireException {
    startCluster(541);
    String json = list.startsWith("wk-") ? "'" + list + "'" : list;
    for (int node = 0; node < 3; node++) {
      assertImmediateAnswer(status, node, body("wk-9", json));
    }
    assertEquals(2, cluster.users.accepted().size());
    assertEquals(null, cluster.simulation.store.value("j/wk-9"), "a record was stored");
    cluster.assertNoViolations();
  }

  /** A repeated submission of a known job is answered 200 with its state, whatever the list. */
  @ParameterizedTest(name = "{0} of a job that is {1}")
  @CsvSource({
    "7, running",
    "[17], running",
    "['wk-1'], running",
    "['wk-404'], running",
    "['wk-5'], running",
    "LONG, running",
    "7, queued",
    "['wk-404'], queued",
    "LONG, queued",
    "7, done",
    "['wk-404'], done",
    "LONG, done",
    "7, cancelled",
    "['wk-404'], cancelled",
    "LONG, cancelled"
  })
  void repeatOfKnownJobReturnsItsState(String list, String state) throws WireException {
    startCluster(542);
    JobId known = new JobId("wk-1");
    if (state.equals("queued")) {
      known = cluster.submit("wk-2", 2, 5, known);
      cluster.run(5);
    } else if (state.equals("done")) {
      known = cluster.submit("wk-2", 2, 5);
      cluster.run(60);
    } else if (state.equals("cancelled")) {
      known = cluster.submit("wk-2", 2, 5, known);
      cluster.users.cancel(new JobId("wk-1"));
      cluster.run(30);
    }
    assertEquals(state, cluster.users.lastState(known));
    for (int node = 0; node < 3; node++) {
      ClusterFixture.TimedResponse answer = cluster.submitTo(node, body(known.value(), list));
      ClusterFixture.assertAnswer(200, state, answer.response());
      assertTrue(answer.seconds() <= MAX_ANSWER_S, "answered after " + answer.seconds() + " s");
    }
    cluster.assertNoViolations();
  }

  /**
   * A node that can't decide answers any submission with 503 and a retry time, within a user's
   * timeout; after the fault it decides.
   *
   * @param fault {@code outage}: the store refuses every node; {@code alone}: one node reaches
   *     neither the store nor other nodes
   */
  @ParameterizedTest(name = "{0}, {1}")
  @CsvSource({
    "outage, ['wk-1'], 503, 201",
    "outage, ['wk-404'], 503, 422",
    "outage, ['wk-5'], 503, 422",
    "outage, LONG, 503, 422",
    "outage, 7, 503, 400",
    "alone, ['wk-1'], 503, 201",
    "alone, ['wk-404'], 503, 422",
    "alone, LONG, 503, 422",
    "alone, 7, 503, 400"
  })
  void undecidableSubmissionIsAnsweredWithRetryTime(
      String fault, String list, int during, int after) throws WireException {
    startCluster(543);
    List<Integer> nodes = new ArrayList<>(List.of(0, 1, 2));
    if (fault.equals("outage")) {
      cluster.simulation.storeFaults.outage(40);
      // After this time no node can be certain of its leadership.
      cluster.simulation.clock.runFor(15);
    } else {
      int follower = (cluster.simulation.leader() + 1) % 3;
      nodes.retainAll(List.of(follower));
      // A delayed request would reach the leader later and be accepted there.
      cluster.simulation.networkFaults.dropDuringPartitions();
      cluster.simulation.networkFaults.isolate(follower, 40);
      cluster.simulation.clock.runFor(5);
    }
    for (int node : nodes) {
      ClusterFixture.TimedResponse answer = cluster.submitTo(node, body("wk-9", list));
      assertEquals(during, answer.response().status(), "node " + node);
      assertTrue(answer.response().retryAfterS() >= 1, "no retry time");
      assertTrue(answer.seconds() <= MAX_ANSWER_S, "answered after " + answer.seconds() + " s");
    }
    cluster.run(60);
    assertImmediateAnswer(after, nodes.get(0), body("wk-9", list));
    cluster.assertNoViolations();
  }

  /**
   * A dependency is refused only after a fresh read: a job that another node has just accepted is
   * known at every node, even at a leader whose watch has not yet delivered its record.
   */
  @ParameterizedTest(name = "accepted at {0}, named at {1}")
  @CsvSource({"0, 1", "0, 2", "1, 0", "1, 2", "2, 0", "2, 1", "0, 0"})
  void justAcceptedDependencyIsKnownAtEveryNode(int acceptedAt, int namedAt) {
    for (long seed = 551; seed < 561; seed++) {
      cluster = new ClusterFixture(seed);
      byte[] first = ClusterFixture.job("wk-1", 1, 5, List.of()).bytes();
      byte[] second = ClusterFixture.job("wk-2", 1, 5, List.of(new JobId("wk-1"))).bytes();
      assertEquals(201, cluster.submitTo(acceptedAt, first).response().status());
      assertEquals(201, cluster.submitTo(namedAt, second).response().status(), "seed " + seed);
    }
  }
}
