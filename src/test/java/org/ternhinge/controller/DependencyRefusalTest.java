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
 * A submission that can't be accepted gets its final answer at once: 400 for a malformed list, 422
 * for jobs that may not be named, 503 with a retry time where the node can't decide. A known job is
 * answered with its state before anything is validated.
 */
class DependencyRefusalTest {
  /** Time of a few calls that take milliseconds each, and rarely some hundred. */
  private static final double AT_ONCE_S = 1.5;

  private DependentJobs cluster;

  private void begin(long seed) {
    cluster = new DependentJobs(seed);
    cluster.submit("wk-1", 1, 300);
    SubmissionBuilder service = DependentJobs.job("wk-5", 1, 0, List.of()).kind("daemon");
    cluster.users.submit(service.spotAllowed(false));
    cluster.run(15);
    assertEquals("running", cluster.users.lastState(new JobId("wk-1")));
  }

  /**
   * A submission of a new job with a list.
   *
   * @param list its JSON with single quotes and semicolons; {@code LONG} for one that no record
   *     holds
   */
  private static byte[] body(String id, String list) throws WireException {
    SubmissionBuilder body = DependentJobs.job(id, 1, 5, List.of());
    if (list.equals("LONG")) {
      body.dependsOn(
          IntStream.range(0, 1000).mapToObj(i -> new JobId(String.format("wk-%07d", i))).toList());
    } else {
      String json = list.replace('\'', '"').replace(';', ',');
      body.rawDependencies(Json.parse(json.getBytes(StandardCharsets.UTF_8)));
    }
    return body.bytes();
  }

  private void assertAtOnce(int status, int node, byte[] body) {
    DependentJobs.Timed answer = cluster.submitTo(node, body);
    assertEquals(status, answer.response().status(), "node " + node);
    assertTrue(answer.seconds() <= AT_ONCE_S, "answered after " + answer.seconds() + " s");
  }

  /** At every node, the leader and the followers. */
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
  void aListThatCanNotBeTaken(String list, int status) throws WireException {
    begin(541);
    String json = list.startsWith("wk-") ? "'" + list + "'" : list;
    for (int node = 0; node < 3; node++) {
      assertAtOnce(status, node, body("wk-9", json));
    }
    assertEquals(2, cluster.users.accepted().size());
    assertEquals(null, cluster.world.store.value("j/wk-9"), "nothing is stored of it");
    cluster.assertNoRuleBroken();
  }

  /** The same lists in a repeat of a known job, whatever its state: 200 with that state. */
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
  void aRepeatOfAKnownJob(String list, String state) throws WireException {
    begin(542);
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
      DependentJobs.Timed answer = cluster.submitTo(node, body(known.value(), list));
      DependentJobs.assertAnswer(200, state, answer.response());
      assertTrue(answer.seconds() <= AT_ONCE_S, "answered after " + answer.seconds() + " s");
    }
    cluster.assertNoRuleBroken();
  }

  /**
   * A node that can't decide answers 503 with a retry time, whatever the submission, and before a
   * user would give up; afterwards it decides.
   *
   * @param fault {@code outage} refuses every node; {@code alone} refuses one, which reaches no
   *     other either
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
  void aNodeThatCanNotDecide(String fault, String list, int during, int after)
      throws WireException {
    begin(543);
    List<Integer> nodes = new ArrayList<>(List.of(0, 1, 2));
    if (fault.equals("outage")) {
      cluster.world.storeFaults.outage(40);
      // From here on no leadership is certain.
      cluster.world.clock.runFor(15);
    } else {
      int follower = (cluster.world.leader() + 1) % 3;
      nodes.retainAll(List.of(follower));
      // A delayed request would reach the leader later and be accepted there.
      cluster.world.networkFaults.dropDuringPartitions();
      cluster.world.networkFaults.isolate(follower, 40);
      cluster.world.clock.runFor(5);
    }
    for (int node : nodes) {
      DependentJobs.Timed answer = cluster.submitTo(node, body("wk-9", list));
      assertEquals(during, answer.response().status(), "node " + node);
      assertTrue(answer.response().retryAfterS() >= 1, "says when to come back");
      assertTrue(answer.seconds() <= AT_ONCE_S, "answered after " + answer.seconds() + " s");
    }
    cluster.run(60);
    assertAtOnce(after, nodes.get(0), body("wk-9", list));
    cluster.assertNoRuleBroken();
  }

  /**
   * A name is refused only after a fresh read: a job that another node accepted a moment ago counts
   * at every node, also at a leader that has not watched its record yet.
   */
  @ParameterizedTest(name = "accepted at {0}, named at {1}")
  @CsvSource({"0, 1", "0, 2", "1, 0", "1, 2", "2, 0", "2, 1", "0, 0"})
  void aNameAcceptedAMomentAgo(int acceptedAt, int namedAt) {
    for (long seed = 551; seed < 561; seed++) {
      cluster = new DependentJobs(seed);
      byte[] first = DependentJobs.job("wk-1", 1, 5, List.of()).bytes();
      byte[] second = DependentJobs.job("wk-2", 1, 5, List.of(new JobId("wk-1"))).bytes();
      assertEquals(201, cluster.submitTo(acceptedAt, first).response().status());
      assertEquals(201, cluster.submitTo(namedAt, second).response().status(), "seed " + seed);
    }
  }
}
