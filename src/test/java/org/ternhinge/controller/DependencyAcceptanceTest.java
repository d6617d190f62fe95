package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SubmissionBuilder;
import org.ternhinge.store.Change;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;

/**
 * Any node accepts a job whose dependencies were accepted, whatever their state, their team and the
 * version that accepted them, with or without a known leader. How the job ends follows from how
 * they end.
 */
class DependencyAcceptanceTest {
  private static final JobId DEPENDENCY = new JobId("wk-1");

  /** Where the job is submitted. */
  enum SubmissionTarget {
    LEADER,
    FOLLOWER,
    NO_LEADER
  }

  private ClusterFixture cluster;

  /** Covers a dependency in each state with submissions at each kind of node. */
  @ParameterizedTest(name = "a job that is {0}, at {1}")
  @CsvSource({
    "queued, LEADER, done",
    "queued, FOLLOWER, done",
    "queued, NO_LEADER, done",
    "waiting, LEADER, done",
    "waiting, FOLLOWER, done",
    "waiting, NO_LEADER, done",
    "running, LEADER, done",
    "running, FOLLOWER, done",
    "running, NO_LEADER, done",
    "other team, LEADER, done",
    "other team, FOLLOWER, done",
    "other team, NO_LEADER, done",
    "done, LEADER, done",
    "done, FOLLOWER, done",
    "done, NO_LEADER, done",
    "cancelled, LEADER, cancelled",
    "cancelled, FOLLOWER, cancelled",
    "cancelled, NO_LEADER, cancelled",
    "cancelled by dependency, LEADER, cancelled",
    "cancelled by dependency, FOLLOWER, cancelled",
    "cancelled by dependency, NO_LEADER, cancelled",
    "done long ago, LEADER, done",
    "done long ago, FOLLOWER, done",
    "done long ago, NO_LEADER, done",
    "old version's, LEADER, done",
    "old version's, FOLLOWER, done",
    "old version's, NO_LEADER, done"
  })
  void dependencyInAnyStateIsAccepted(
      String dependencyState, SubmissionTarget target, String expectedState) throws Exception {
    cluster = new ClusterFixture(501);
    prepareDependency(dependencyState);
    SubmissionBuilder body = ClusterFixture.job("wk-9", 2, 5, List.of(DEPENDENCY));
    JobId id = body.id();
    cluster.simulation.jobs.add(body.spec(), List.of(DEPENDENCY));
    ClusterFixture.TimedResponse answer = cluster.submitTo(targetNode(target), body.bytes());
    int attempts = 1;
    while (answer.response().status() == 503
        && target == SubmissionTarget.NO_LEADER
        && attempts++ < 60) {
      cluster.simulation.clock.runFor(1);
      answer = cluster.submitTo(targetNode(SubmissionTarget.FOLLOWER), body.bytes());
    }
    ClusterFixture.assertAnswer(
        201, expectedState.equals("done") ? "queued" : expectedState, answer.response());
    cluster.users.assumeAccepted(body.spec());
    cluster.run(150);
    cluster.users.expectTimelyAnswers();
    cluster.run(60);
    cluster.assertNoViolations();
    assertEquals(expectedState, cluster.users.lastState(id));
    assertEquals(
        expectedState.equals("done"),
        cluster.simulation.tasks.firstStartOf(id).isPresent(),
        "whether any task started");
  }

  /** Submits the dependency and brings it into the given state. */
  private void prepareDependency(String dependencyState) throws Exception {
    switch (dependencyState) {
      case "queued" -> {
        cluster.submit("wk-1", 2, 10);
        cluster.simulation.clock.runFor(0.3);
        assertEquals("queued", cluster.stateAt(cluster.simulation.leader(), DEPENDENCY));
      }
      case "waiting" -> {
        JobId first = cluster.submit("wk-0", 2, 30);
        cluster.submit("wk-1", 2, 10, first);
        cluster.run(15);
        assertEquals("queued", cluster.users.lastState(DEPENDENCY));
      }
      case "running" -> {
        cluster.submit("wk-1", 2, 60);
        cluster.run(25);
        assertEquals("running", cluster.users.lastState(DEPENDENCY));
      }
      case "other team" -> {
        cluster.users.submit(ClusterFixture.job("wk-1", 2, 30, List.of()).team("blue"));
        cluster.run(15);
      }
      case "done" -> {
        cluster.submit("wk-1", 2, 5);
        cluster.run(40);
        assertEquals("done", cluster.users.lastState(DEPENDENCY));
      }
      case "cancelled" -> {
        cluster.submit("wk-1", 2, 300);
        cluster.run(20);
        cluster.users.cancel(DEPENDENCY);
        cluster.run(10);
        assertEquals("cancelled", cluster.users.lastState(DEPENDENCY));
      }
      case "cancelled by dependency" -> {
        JobId first = cluster.submit("wk-0", 2, 300);
        cluster.submit("wk-1", 2, 10, first);
        cluster.run(20);
        cluster.users.cancel(first);
        cluster.run(10);
        assertEquals("cancelled", cluster.users.lastState(DEPENDENCY));
      }
      case "done long ago" ->
          cluster.simulation.storeEndRecords(
              List.of(SubmissionBuilder.job("wk-1", "batch", 2).spec()));
      case "old version's" -> storeOldVersionRecord();
      default -> throw new IllegalArgumentException(dependencyState);
    }
  }

  /** Stores a record as written at acceptance by the version that has no dependent jobs. */
  private void storeOldVersionRecord() {
    JobSpec spec = ClusterFixture.job("wk-1", 2, 10, List.of()).spec();
    cluster.simulation.jobs.add(spec);
    ObjectNode record = Json.object();
    record.set("s", spec.write());
    record
        .put("t", cluster.simulation.clock.wallClockMillis())
        .put("p", 127)
        .put("h", 0)
        .put("d", "");
    record.putArray("o");
    cluster.simulation.store.put(List.of(new Change.Put("j/wk-1", record, 0)));
    cluster.users.assumeAccepted(spec);
  }

  /**
   * Returns the node to submit to; for {@code NO_LEADER}, has the store refuse the leader until its
   * lease has expired.
   */
  private int targetNode(SubmissionTarget target) {
    int leader = cluster.simulation.leader();
    if (target == SubmissionTarget.LEADER) {
      return leader;
    }
    if (target == SubmissionTarget.NO_LEADER) {
      cluster.simulation.storeFaults.refuse(leader, 30);
      double from = cluster.simulation.clock.seconds();
      while (cluster.simulation.leader() == leader) {
        cluster.simulation.clock.runFor(0.005);
        assertTrue(cluster.simulation.clock.seconds() < from + 25, "the lease did not expire");
      }
      assertEquals(-1, cluster.simulation.leader(), "a node leads");
    }
    return (Math.max(0, leader) + 1) % 3;
  }
}
