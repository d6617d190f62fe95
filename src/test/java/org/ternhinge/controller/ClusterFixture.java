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
 * A simulated cluster with users, mainly for tests of dependent jobs: submits jobs, advances the
 * clock and asserts the final states.
 */
final class ClusterFixture {
  /** Time within which the tasks of a cancelled job have to end, in seconds. */
  static final double CANCEL_TIMEOUT_S = 44;

  /** Timeout of a user's submission, in seconds. */
  private static final double USER_TIMEOUT_S = 5;

  final SimCluster simulation;
  final SimUsers users;

  /** A cluster of three nodes with enough machines and quota for small jobs. */
  ClusterFixture(long seed) {
    this(seed, 0, new SimCluster.Size(3, 4, 60, 30));
  }

  /** A cluster whose settings announce no future, lower limits of the key-value store. */
  static ClusterFixture withoutAnnouncedLimits(long seed, SimCluster.Size size) {
    return new ClusterFixture(new SimCluster(seed, 0, size));
  }

  private ClusterFixture(SimCluster simulation) {
    this.simulation = simulation;
    this.users = new SimUsers(simulation);
    simulation.clock.runFor(5);
  }

  /**
   * Creates a cluster and gives it five seconds to elect a leader.
   *
   * @param loss the share of messages that are delayed or lost
   */
  ClusterFixture(long seed, double loss, SimCluster.Size size) {
    this(new SimCluster(seed, loss, size, SimCluster.ANNOUNCED));
  }

  /** A submission of an array job with dependencies. */
  static SubmissionBuilder job(String id, int tasks, double runS, List<JobId> dependencies) {
    return SubmissionBuilder.job(id, "batch", tasks)
        .cpus(2.0)
        .runsFor(runS)
        .dependsOn(dependencies);
  }

  /** Submits an array job as soon as all its dependencies have been accepted. */
  JobId submit(String id, int tasks, double runS, JobId... dependencies) {
    users.submitAfterDependencies(job(id, tasks, runS, List.of(dependencies)));
    return new JobId(id);
  }

  /** Advances the clock while users poll their jobs every three seconds. */
  void run(double seconds) {
    users.runWithPolling(seconds);
  }

  /** Advances the clock while these jobs are polled at every node each second. */
  void runPollingEverywhere(double seconds, List<JobId> jobs) {
    for (double t = 0; t < seconds; t++) {
      jobs.forEach(users::pollAllControllers);
      simulation.clock.runFor(1);
    }
  }

  /** Asserts that no invariant was violated and no transaction exceeded the size limits. */
  void assertNoViolations() {
    assertEquals(List.of(), simulation.violations());
    assertEquals(0, simulation.store.rejectedTooLarge(), "transactions above the size limit");
  }

  /** Declares all faults ended, then asserts that every accepted job is done after this time. */
  void assertAllDoneAfter(double seconds) {
    users.expectTimelyAnswers();
    run(seconds);
    assertNoViolations();
    for (JobId id : users.accepted()) {
      assertEquals("done", users.lastState(id), id.value());
    }
  }

  /** A job's state as one node answers it, or the HTTP status if that is not 200. */
  String stateAt(int node, JobId id) {
    Response response =
        simulation.controllers.answerTo(node, "GET", "/submissions/" + id, new byte[0]);
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

  /** A response and the seconds until it arrived. */
  record TimedResponse(Response response, double seconds) {}

  /** Sends a submission to a node; fails if no answer arrives within a user's timeout. */
  TimedResponse submitTo(int node, byte[] body) {
    double sentAt = simulation.clock.seconds();
    List<TimedResponse> answers = new ArrayList<>();
    simulation.controllers.user(
        node,
        new Request("POST", "/submissions", body),
        response -> answers.add(new TimedResponse(response, simulation.clock.seconds() - sentAt)));
    while (answers.isEmpty() && simulation.clock.seconds() < sentAt + USER_TIMEOUT_S) {
      simulation.clock.runFor(0.005);
    }
    assertTrue(
        !answers.isEmpty() && answers.get(0).response != null,
        "no answer within the user's timeout");
    return answers.get(0);
  }

  static void assertAnswer(int status, String state, Response response) {
    assertNotNull(response);
    assertEquals(status, response.status());
    String body = new String(response.body(), StandardCharsets.UTF_8);
    assertTrue(body.contains("\"astand\":\"" + state + "\""), body);
  }

  /**
   * Submits four jobs as a chain or a diamond, numbered in topological order; all but the first
   * wait for others.
   */
  List<JobId> submitPipeline(String shape, double runS) {
    List<JobId> jobs = new ArrayList<>();
    jobs.add(submit("wk-1", 2, runS));
    jobs.add(submit("wk-2", 2, 5, jobs.get(0)));
    if (shape.equals("chain")) {
      jobs.add(submit("wk-3", 2, 5, jobs.get(1)));
      jobs.add(submit("wk-4", 2, 5, jobs.get(2)));
    } else {
      jobs.add(submit("wk-3", 2, 5, jobs.get(0)));
      jobs.add(submit("wk-4", 2, 5, jobs.get(1), jobs.get(2)));
    }
    return jobs;
  }

  /** Injects a fault; called when the answer to a cancellation arrives. */
  void injectFault(String fault) {
    int leader = Math.max(0, simulation.leader());
    if (fault.startsWith("crash")) {
      simulation.controllers.crash(leader, 3);
    }
    if (fault.endsWith("outage")) {
      simulation.storeFaults.outage(CANCEL_TIMEOUT_S + 16);
    }
    if (fault.equals("refused")) {
      simulation.storeFaults.refuse(leader, CANCEL_TIMEOUT_S + 16);
    }
    if (fault.equals("all crash")) {
      for (int i = 0; i < 3; i++) {
        simulation.controllers.crash(i, 2 + i * 0.3);
      }
    }
  }

  /**
   * Asserts that each job ended as requested: cancelled if it had to be, done if it could not be
   * cancelled, otherwise either.
   */
  void assertExpectedEndStates() {
    for (JobId id : users.accepted()) {
      String state = users.lastState(id);
      if (users.mustBeCancelled(id)) {
        assertEquals("cancelled", state, id + " should have been cancelled");
      } else if (!users.mayBeCancelled(id)) {
        assertEquals("done", state, id + " was cancelled without a request");
      } else {
        assertTrue("done".equals(state) || "cancelled".equals(state), id + " is " + state);
      }
    }
  }

  /** Asserts that a cancelled job and all its dependents ended as cancelled. */
  void assertDependentsCancelled(JobId cancelled) {
    for (JobId id : users.accepted()) {
      if (id.equals(cancelled) || simulation.jobs.dependencies(id).contains(cancelled)) {
        assertEquals("cancelled", users.lastState(id), id.value());
      }
    }
  }
}
