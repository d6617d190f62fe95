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
 * Any node accepts a job that names accepted jobs, whatever their state, team and the version that
 * accepted them, and whether or not a leader is known; the job's end follows from theirs.
 */
class DependencyAcceptanceTest {
  private static final JobId NAMED = new JobId("wk-1");

  /** The node that gets the submission. */
  enum Asked {
    LEADER,
    FOLLOWER,
    NOBODY_LEADS
  }

  private DependentJobs cluster;

  /** A dependency in each state, with submissions at each kind of node. */
  @ParameterizedTest(name = "a job that is {0}, at {1}")
  @CsvSource({
    "queued, LEADER, done",
    "queued, FOLLOWER, done",
    "queued, NOBODY_LEADS, done",
    "waiting, LEADER, done",
    "waiting, FOLLOWER, done",
    "waiting, NOBODY_LEADS, done",
    "running, LEADER, done",
    "running, FOLLOWER, done",
    "running, NOBODY_LEADS, done",
    "other team, LEADER, done",
    "other team, FOLLOWER, done",
    "other team, NOBODY_LEADS, done",
    "done, LEADER, done",
    "done, FOLLOWER, done",
    "done, NOBODY_LEADS, done",
    "cancelled, LEADER, cancelled",
    "cancelled, FOLLOWER, cancelled",
    "cancelled, NOBODY_LEADS, cancelled",
    "cancelled by dependency, LEADER, cancelled",
    "cancelled by dependency, FOLLOWER, cancelled",
    "cancelled by dependency, NOBODY_LEADS, cancelled",
    "done long ago, LEADER, done",
    "done long ago, FOLLOWER, done",
    "done long ago, NOBODY_LEADS, done",
    "old version's, LEADER, done",
    "old version's, FOLLOWER, done",
    "old version's, NOBODY_LEADS, done"
  })
  void aJobInAnyStateMayBeNamed(String named, Asked asked, String end) throws Exception {
    cluster = new DependentJobs(501);
    prepare(named);
    SubmissionBuilder body = DependentJobs.job("wk-9", 2, 5, List.of(NAMED));
    JobId id = body.id();
    cluster.world.jobs.add(body.spec(), List.of(NAMED));
    DependentJobs.Timed answer = cluster.submitTo(node(asked), body.bytes());
    int tries = 1;
    while (answer.response().status() == 503 && asked == Asked.NOBODY_LEADS && tries++ < 60) {
      cluster.world.clock.runFor(1);
      answer = cluster.submitTo(node(Asked.FOLLOWER), body.bytes());
    }
    DependentJobs.assertAnswer(201, end.equals("done") ? "queued" : end, answer.response());
    cluster.users.assumeAccepted(body.spec());
    cluster.run(150);
    cluster.users.expectTimelyAnswers();
    cluster.run(60);
    cluster.assertNoRuleBroken();
    assertEquals(end, cluster.users.lastState(id));
    assertEquals(
        end.equals("done"),
        cluster.world.tasks.firstStartOf(id).isPresent(),
        "whether it ever ran");
  }

  /** Submits the job to depend on and brings it into a state. */
  private void prepare(String named) throws Exception {
    switch (named) {
      case "queued" -> {
        cluster.submit("wk-1", 2, 10);
        cluster.world.clock.runFor(0.3);
        assertEquals("queued", cluster.stateAt(cluster.world.leader(), NAMED));
      }
      case "waiting" -> {
        JobId first = cluster.submit("wk-0", 2, 30);
        cluster.submit("wk-1", 2, 10, first);
        cluster.run(15);
        assertEquals("queued", cluster.users.lastState(NAMED));
      }
      case "running" -> {
        cluster.submit("wk-1", 2, 60);
        cluster.run(25);
        assertEquals("running", cluster.users.lastState(NAMED));
      }
      case "other team" -> {
        cluster.users.submit(DependentJobs.job("wk-1", 2, 30, List.of()).team("blue"));
        cluster.run(15);
      }
      case "done" -> {
        cluster.submit("wk-1", 2, 5);
        cluster.run(40);
        assertEquals("done", cluster.users.lastState(NAMED));
      }
      case "cancelled" -> {
        cluster.submit("wk-1", 2, 300);
        cluster.run(20);
        cluster.users.cancel(NAMED);
        cluster.run(10);
        assertEquals("cancelled", cluster.users.lastState(NAMED));
      }
      case "cancelled by dependency" -> {
        JobId first = cluster.submit("wk-0", 2, 300);
        cluster.submit("wk-1", 2, 10, first);
        cluster.run(20);
        cluster.users.cancel(first);
        cluster.run(10);
        assertEquals("cancelled", cluster.users.lastState(NAMED));
      }
      case "done long ago" ->
          cluster.world.storeEndRecords(List.of(SubmissionBuilder.job("wk-1", "batch", 2).spec()));
      case "old version's" -> acceptedByTheOldVersion();
      default -> throw new IllegalArgumentException(named);
    }
  }

  /** A record as the version before dependent jobs writes it at the acceptance. */
  private void acceptedByTheOldVersion() {
    JobSpec spec = DependentJobs.job("wk-1", 2, 10, List.of()).spec();
    cluster.world.jobs.add(spec);
    ObjectNode record = Json.object();
    record.set("s", spec.write());
    record.put("t", cluster.world.clock.wallClockMillis()).put("p", 127).put("h", 0).put("d", "");
    record.putArray("o");
    cluster.world.store.put(List.of(new Change.Put("j/wk-1", record, 0)));
    cluster.users.assumeAccepted(spec);
  }

  /**
   * The node for the submission; for NOBODY_LEADS the leader is refused until its lease has ended.
   */
  private int node(Asked asked) {
    int leader = cluster.world.leader();
    if (asked == Asked.LEADER) {
      return leader;
    }
    if (asked == Asked.NOBODY_LEADS) {
      cluster.world.storeFaults.refuse(leader, 30);
      double from = cluster.world.clock.seconds();
      while (cluster.world.leader() == leader) {
        cluster.world.clock.runFor(0.005);
        assertTrue(cluster.world.clock.seconds() < from + 25, "the lease ends");
      }
      assertEquals(-1, cluster.world.leader(), "nobody leads at this moment");
    }
    return (Math.max(0, leader) + 1) % 3;
  }
}
