package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.ledger.Keys;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SubmissionBuilder;
import org.ternhinge.store.Change;
import org.ternhinge.wire.Json;

/**
 * What users of an accepted job get once its record can't be decoded, at every node, and what
 * becomes of other jobs.
 */
class UnreadableJobRecordTest {
  private static final JobId JOB = new JobId("wk-1");
  private static final int TASKS = 4;

  /** Less than the deadlines at which a node responds 503 to a request that is still pending. */
  private static final double TIMEOUT_S = 1;

  /** Seconds after which users abandon a cancellation. */
  private static final double CANCELLATION_TIMEOUT_S = 5;

  private final ClusterFixture cluster = new ClusterFixture(611);

  /** Overwrites a field of the job's record. */
  private void corrupt(String field, String value) {
    ObjectNode record = cluster.simulation.store.value(Keys.job(JOB)).deepCopy();
    record.put(field, value);
    cluster.simulation.store.put(List.of(new Change.Put(Keys.job(JOB), record, 0)));
  }

  /** Runs a job, makes its record unreadable and, if asked for, has another node lead. */
  private void runJobWithUnreadableRecord(boolean leaderChanges) {
    cluster.submit(JOB.value(), TASKS, 200);
    cluster.run(25);
    assertEquals("running", cluster.users.lastState(JOB));
    corrupt("d", "not a range");
    if (leaderChanges) {
      int leader = cluster.simulation.leader();
      cluster.simulation.controllers.crash(leader, 3);
      cluster.simulation.clock.runFor(15);
    }
  }

  /** The response to a request that is sent to one node; null if none arrives in time. */
  private Response respond(double timeoutS, int node, String method, String path) {
    AtomicReference<Response> received = new AtomicReference<>();
    Request request = new Request(method, path, new byte[0]);
    cluster.simulation.controllers.deliver(node, request, received::set);
    double end = cluster.simulation.clock.seconds() + timeoutS;
    while (received.get() == null && cluster.simulation.clock.seconds() < end) {
      cluster.simulation.clock.runFor(0.05);
    }
    return received.get();
  }

  /**
   * Guards against requests that are never answered, and against a job that was accepted and is
   * then said to be unknown.
   */
  @ParameterizedTest(name = "node {0}, leader changes: {1}")
  @CsvSource({"0, false", "1, false", "2, false", "0, true", "1, true", "2, true"})
  void acceptedJobStaysKnown(int node, boolean leaderChanges) {
    runJobWithUnreadableRecord(leaderChanges);
    Set<Integer> known = Set.of(200, 503);
    for (int i = 0; i < 3; i++) {
      Response polled = respond(TIMEOUT_S, node, "GET", "/submissions/" + JOB);
      assertNotNull(polled, "poll " + i + " is answered");
      assertTrue(known.contains(polled.status()), "poll: " + polled.status());
    }
    SubmissionBuilder repeated = ClusterFixture.job(JOB.value(), TASKS, 200, List.of());
    int status = cluster.submitTo(node, repeated.bytes()).response().status();
    assertTrue(known.contains(status), "repeated submission: " + status);
    byte[] malformed = Json.bytes(Json.object().put("ref", JOB.value()));
    status = cluster.submitTo(node, malformed).response().status();
    assertTrue(known.contains(status), "repeated submission without fields: " + status);
    SubmissionBuilder dependent = ClusterFixture.job("wk-9", 1, 5, List.of(JOB));
    status = cluster.submitTo(node, dependent.bytes()).response().status();
    assertTrue(Set.of(201, 503).contains(status), "dependent submission: " + status);
  }

  /**
   * Guards against a cancellation that is never answered, or answered as for an unknown job. A
   * leader that has the job in memory loses its leadership by the write, since the record changed.
   */
  @ParameterizedTest(name = "node {0}, leader changes: {1}")
  @CsvSource({"0, false", "1, false", "2, false", "0, true", "1, true", "2, true"})
  void cancellationIsAnswered(int node, boolean leaderChanges) {
    runJobWithUnreadableRecord(leaderChanges);
    String path = "/submissions/" + JOB + "/cancel";
    for (int i = 0; i < 2; i++) {
      double timeoutS = leaderChanges ? TIMEOUT_S : CANCELLATION_TIMEOUT_S;
      Response response = respond(timeoutS, node, "POST", path);
      assertNotNull(response, "cancellation " + i + " is answered");
      assertTrue(Set.of(200, 503).contains(response.status()), "status " + response.status());
    }
  }

  /** Guards against a second start of a task whose first attempt a new leader can't read. */
  @Test
  void tasksAreNotStartedAgain() {
    runJobWithUnreadableRecord(true);
    cluster.simulation.clock.runFor(90);
    assertEquals(TASKS, cluster.simulation.tasks.startsOf(JOB));
    assertEquals(List.of(), cluster.simulation.violations());
  }

  /** Guards against one record that keeps a leader from admitting all later jobs. */
  @ParameterizedTest(name = "{0}: {1}")
  @CsvSource({"d, not a range", "f, 999999", "o, not a list"})
  void jobsAcceptedByOtherNodesAreStarted(String field, String value) {
    int leader = cluster.simulation.leader();
    int follower = (leader + 1) % cluster.simulation.nodeCount();
    ObjectNode record = Json.object();
    record.set("s", ClusterFixture.job("wk-7", 2, 5, List.of()).spec().write());
    record.put("t", 1).put("p", 100_000).put("h", 0).put("d", "").putArray("o");
    record.put(field, value);
    cluster.simulation.store.put(List.of(new Change.Put("j/wk-7", record, 0)));
    cluster.simulation.clock.runFor(1);
    SubmissionBuilder next = ClusterFixture.job("wk-8", 2, 5, List.of());
    cluster.simulation.jobs.add(next.spec(), List.of());
    assertEquals(201, cluster.submitTo(follower, next.bytes()).response().status());
    cluster.simulation.clock.runFor(60);
    assertNotEquals(0, cluster.simulation.tasks.startsOf(next.id()));
    assertEquals(leader, cluster.simulation.leader(), "the leadership has not changed");
  }
}
