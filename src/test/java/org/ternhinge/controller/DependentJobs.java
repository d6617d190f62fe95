package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;
import org.ternhinge.sim.SubmissionBuilder;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/**
 * A simulated cluster with users, for the tests of dependent jobs: what they submit, how time goes
 * on, and what has to hold at the end.
 */
final class DependentJobs {
  /** Seconds within which the tasks of a cancelled job have to end. */
  static final double CANCEL_S = 44;

  /** Timeout of a user's submission, in seconds. */
  private static final double USER_TIMEOUT_S = 5;

  final SimCluster world;
  final SimUsers users;

  /** A cluster of three nodes whose machines and limits are no obstacle to small jobs. */
  DependentJobs(long seed) {
    this(seed, 0, new SimCluster.Size(3, 4, 60, 30));
  }

  /** A cluster whose settings announce no lower limits of the key-value store. */
  static DependentJobs withoutAnnouncedLimits(long seed, SimCluster.Size size) {
    return new DependentJobs(new SimCluster(seed, 0, size));
  }

  private DependentJobs(SimCluster world) {
    this.world = world;
    this.users = new SimUsers(world);
    world.clock.runFor(5);
  }

  /**
   * A cluster that has had five seconds to elect a leader.
   *
   * @param loss the share of messages that are late or lost
   */
  DependentJobs(long seed, double loss, SimCluster.Size size) {
    this(new SimCluster(seed, loss, size, SimCluster.ANNOUNCED));
  }

  /** A submission of an array that names the jobs it depends on. */
  static SubmissionBuilder job(String id, int tasks, double runs, List<JobId> dependencies) {
    return SubmissionBuilder.job(id, "batch", tasks)
        .cpus(2.0)
        .runsFor(runs)
        .dependsOn(dependencies);
  }

  /** Submits an array as soon as all that it depends on are accepted. */
  JobId submit(String id, int tasks, double runs, JobId... dependencies) {
    users.submitAfterDependencies(job(id, tasks, runs, List.of(dependencies)));
    return new JobId(id);
  }

  /** Advances the clock while users poll their jobs every three seconds. */
  void run(double seconds) {
    users.runWithPolling(seconds);
  }

  /** Advances the clock while these jobs are polled at every node each second. */
  void runPollingEverywhere(double seconds, List<JobId> about) {
    for (double t = 0; t < seconds; t++) {
      about.forEach(users::pollAllControllers);
      world.clock.runFor(1);
    }
  }

  /** Asserts that no rule was broken and no transaction exceeded the limits on size. */
  void assertNoRuleBroken() {
    assertEquals(List.of(), world.violations());
    assertEquals(0, world.store.rejectedTooLarge(), "transactions beyond the limit on size");
  }

  /** Ends all faults and asserts that after a while every accepted job is done. */
  void assertAllDoneAfter(double seconds) {
    users.expectTimelyAnswers();
    run(seconds);
    assertNoRuleBroken();
    for (JobId id : users.accepted()) {
      assertEquals("done", users.lastState(id), id.value());
    }
  }

  /** One node's answer about a job: its state, or the status where that is not 200. */
  String stateAt(int node, JobId id) {
    Response response = world.controllers.answerTo(node, "GET", "/submissions/" + id, new byte[0]);
    if (response == null || response.status() != 200) {
      return response == null ? "nothing" : Integer.toString(response.status());
    }
    return state(response);
  }

  static String state(Response response) {
    try {
      return Json.text(Json.parse(response.body()), "astand");
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A response and how many seconds it took. */
  record Timed(Response response, double seconds) {}

  /** Sends a submission to a node; fails if no answer comes before a user would give up. */
  Timed submitTo(int node, byte[] body) {
    double sentAt = world.clock.seconds();
    List<Timed> answers = new ArrayList<>();
    world.controllers.user(
        node,
        new Request("POST", "/submissions", body),
        response -> answers.add(new Timed(response, world.clock.seconds() - sentAt)));
    while (answers.isEmpty() && world.clock.seconds() < sentAt + USER_TIMEOUT_S) {
      world.clock.runFor(0.005);
    }
    assertTrue(!answers.isEmpty() && answers.get(0).response != null, "no answer in time");
    return answers.get(0);
  }

  static void assertAnswer(int status, String state, Response response) {
    assertNotNull(response);
    assertEquals(status, response.status());
    String body = new String(response.body(), StandardCharsets.UTF_8);
    assertTrue(body.contains("\"astand\":\"" + state + "\""), body);
  }

  /**
   * Submits four jobs as a chain or a diamond; all but the first wait. Their names are in order.
   */
  List<JobId> submitShape(String shape, double runs) {
    List<JobId> out = new ArrayList<>();
    out.add(submit("wk-1", 2, runs));
    out.add(submit("wk-2", 2, 5, out.get(0)));
    if (shape.equals("chain")) {
      out.add(submit("wk-3", 2, 5, out.get(1)));
      out.add(submit("wk-4", 2, 5, out.get(2)));
    } else {
      out.add(submit("wk-3", 2, 5, out.get(0)));
      out.add(submit("wk-4", 2, 5, out.get(1), out.get(2)));
    }
    return out;
  }

  /** Begins a fault at the moment when the answer to a cancellation arrives. */
  void beginFault(String then) {
    int leader = Math.max(0, world.leader());
    if (then.startsWith("crash")) {
      world.controllers.crash(leader, 3);
    }
    if (then.endsWith("outage")) {
      world.storeFaults.outage(CANCEL_S + 16);
    }
    if (then.equals("refused")) {
      world.storeFaults.refuse(leader, CANCEL_S + 16);
    }
    if (then.equals("all crash")) {
      for (int i = 0; i < 3; i++) {
        world.controllers.crash(i, 2 + i * 0.3);
      }
    }
  }

  /** Asserts that jobs that nobody cancelled are done and that all others are over. */
  void assertEndedWell() {
    for (JobId id : users.accepted()) {
      String state = users.lastState(id);
      if (users.mustBeCancelled(id)) {
        assertEquals("cancelled", state, id + " has to be cancelled");
      } else if (!users.mayBeCancelled(id)) {
        assertEquals("done", state, id + " was cancelled by nobody");
      } else {
        assertTrue("done".equals(state) || "cancelled".equals(state), id + " is " + state);
      }
    }
  }

  /** Asserts that a cancelled job and all that depend on it have ended as cancelled. */
  void assertEndedWell(JobId cancelled) {
    for (JobId id : users.accepted()) {
      if (id.equals(cancelled) || world.jobs.dependencies(id).contains(cancelled)) {
        assertEquals("cancelled", users.lastState(id), id.value());
      }
    }
  }
}
