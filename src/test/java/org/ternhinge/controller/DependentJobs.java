package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;
import org.ternhinge.sim.Specs;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/**
 * A simulated cluster with users, for the tests of dependent jobs: what they submit, how time goes
 * on, and what has to hold at the end.
 */
final class DependentJobs {
  /** Seconds within which the tasks of a cancelled job have to be gone. */
  static final double CANCEL_S = 44;

  /** Seconds after which a user no longer waits for the answer to a submission. */
  private static final double USER_WAITS_S = 5;

  final SimCluster world;
  final SimUsers users;

  /** A cluster of three nodes whose machines and limits are no obstacle to small jobs. */
  DependentJobs(long seed) {
    this(seed, 0, new SimCluster.Size(3, 4, 60, 30));
  }

  /** A cluster whose settings name no coming limits of the key-value store. */
  static DependentJobs withoutComingLimits(long seed, SimCluster.Size size) {
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
    this(new SimCluster(seed, loss, size, SimCluster.COMING));
  }

  /** A submission of an array that names the jobs it depends on. */
  static ObjectNode job(String id, int tasks, double runs, List<JobId> dependencies) {
    ObjectNode body = Specs.json(id, "batch", tasks).put("cpus", 2.0).put("aaetlun_s", runs);
    if (!dependencies.isEmpty()) {
      ArrayNode names = body.putArray("bidur_eftir");
      dependencies.forEach(dependency -> names.add(dependency.value()));
    }
    return body;
  }

  static JobId idOf(ObjectNode body) {
    return new JobId(body.get("ref").asText());
  }

  /** Submits an array as soon as all that it depends on are accepted. */
  JobId submit(String id, int tasks, double runs, JobId... dependencies) {
    users.submitAfterNamed(job(id, tasks, runs, List.of(dependencies)));
    return new JobId(id);
  }

  /** Lets time pass while users ask about their jobs every three seconds. */
  void run(double seconds) {
    double end = world.clock.seconds() + seconds;
    while (world.clock.seconds() < end - 1e-6) {
      world.clock.runFor(Math.min(3, end - world.clock.seconds()));
      users.pollAll();
    }
  }

  /** Lets time pass while every node is asked about these jobs each second. */
  void runAskingEverywhere(double seconds, List<JobId> about) {
    for (double t = 0; t < seconds; t++) {
      about.forEach(users::pollEverywhere);
      world.clock.runFor(1);
    }
  }

  /** No rule was broken, and nothing was sent that the key-value store finds too large. */
  void nothingBroken() {
    assertEquals(List.of(), world.violations());
    assertEquals(0, world.state.tooLarge(), "transactions beyond the limit on size");
  }

  /** All troubles are over: after a while every accepted job that nobody cancelled is done. */
  void allDoneAfter(double seconds) {
    users.quiet();
    run(seconds);
    nothingBroken();
    for (JobId id : users.accepted()) {
      assertEquals("done", users.lastTold(id), id.value());
    }
  }

  /** What one node says of a job: its state, or the status where that is not 200. */
  String says(int node, JobId id) {
    Response response = world.answerTo(node, "GET", "/submissions/" + id, new byte[0]);
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

  /** Brings a submission to a node; fails where no answer comes before a user would give up. */
  Timed submitTo(int node, byte[] body) {
    double asked = world.clock.seconds();
    List<Timed> answers = new ArrayList<>();
    world.user(
        node,
        new Request("POST", "/submissions", body),
        response -> answers.add(new Timed(response, world.clock.seconds() - asked)));
    while (answers.isEmpty() && world.clock.seconds() < asked + USER_WAITS_S) {
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

  /** Jobs of a shape; all but the first wait. The names are given in order. */
  List<JobId> shape(String shape, double runs) {
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

  /** What fails at the moment when the answer to a cancellation arrives. */
  void rightAfter(String then) {
    int leader = Math.max(0, world.leader());
    if (then.startsWith("crash")) {
      world.crash(leader, 3);
    }
    if (then.endsWith("outage")) {
      world.stateFaults.outage(CANCEL_S + 16);
    }
    if (then.equals("refused")) {
      world.stateFaults.refuse(leader, CANCEL_S + 16);
    }
    if (then.equals("all crash")) {
      for (int i = 0; i < 3; i++) {
        world.crash(i, 2 + i * 0.3);
      }
    }
  }

  /** Whatever nobody cancelled is done, whatever somebody did is over. */
  void endedWell() {
    for (JobId id : users.accepted()) {
      String told = users.lastTold(id);
      if (users.hasToBeCancelled(id)) {
        assertEquals("cancelled", told, id + " has to be cancelled");
      } else if (!users.mayBeCancelled(id)) {
        assertEquals("done", told, id + " was cancelled by nobody");
      } else {
        assertTrue("done".equals(told) || "cancelled".equals(told), id + " is " + told);
      }
    }
  }

  /** A cancelled job and all that depend on it have ended as cancelled. */
  void endedWell(JobId cancelled) {
    for (JobId id : users.accepted()) {
      if (id.equals(cancelled) || world.dependencies(id).contains(cancelled)) {
        assertEquals("cancelled", users.lastTold(id), id.value());
      }
    }
  }
}
