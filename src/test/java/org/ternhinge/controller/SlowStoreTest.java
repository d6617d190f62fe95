package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.http.Request;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;
import org.ternhinge.sim.SubmissionBuilder;

/**
 * The whole controller over a slow key-value store, on virtual time. Delays are between a quarter
 * of the given ones and all of them.
 */
class SlowStoreTest {
  private static final double QUIET_S = 5;

  private SimCluster world;
  private SimUsers users;

  private void begin(long seed) {
    world = new SimCluster(seed, 0, new SimCluster.Size(3, 4, 60, 30));
    users = new SimUsers(world);
    world.clock.runFor(QUIET_S);
  }

  private JobId submit(String id, String kind, int tasks, double runS) {
    SubmissionBuilder body = SubmissionBuilder.job(id, kind, tasks).cpus(2.0).runsFor(runS);
    users.submit(body.productionIfService());
    return new JobId(id);
  }

  private void run(double seconds) {
    users.runWithPolling(seconds);
  }

  private void slow(double seconds, double eachWayS) {
    world.storeFaults.slowResponses(seconds, 2 * eachWayS);
  }

  private void endSlowness() {
    run(30);
    users.expectTimelyAnswers();
    JobId last = submit("wk-9", "batch", 2, 5);
    double submitted = world.clock.seconds();
    run(60);
    assertTrue(
        world.tasks.firstStartOf(last).isPresent(), "a job after the slowness has not begun");
    double waitedS = world.tasks.firstStartOf(last).getAsDouble() - submitted;
    assertTrue(waitedS < 15, "a job after the slowness began only after " + waitedS + " s");
    run(100);
    assertEquals("done", users.lastState(last));
    assertEquals(List.of(), world.violations());
  }

  /** The leader stays, jobs are accepted and start, and cancellations hold. */
  @ParameterizedTest(name = "seed {0}, {1} s each way")
  @CsvSource({
    "301, 0.3", "302, 0.8", "303, 1.0", "304, 1.3", "305, 1.8",
    "311, 0.3", "312, 0.8", "313, 1.0", "314, 1.3", "315, 1.8"
  })
  void jobsGoOnUnderTheSameLeader(long seed, double eachWayS) {
    begin(seed);
    JobId stays = submit("wk-1", "daemon", 3, 0);
    JobId goes = submit("wk-2", "batch", 6, 400);
    run(60);
    assertEquals(6, world.tasks.runningTasks(goes));
    int leaderships = world.counts.leaderships();
    slow(200, eachWayS);
    run(10);
    JobId array = submit("wk-3", "batch", 4, 10);
    JobId gang = submit("wk-4", "group", 2, 20);
    run(20);
    users.cancel(goes);
    run(120);
    assertEquals(leaderships, world.counts.leaderships(), "the leader did not stay");
    assertTrue(world.tasks.firstStartOf(array).isPresent(), "the array has not begun");
    assertTrue(world.tasks.firstStartOf(gang).isPresent(), "the gang has not begun");
    assertEquals(0, world.tasks.runningTasks(goes));
    assertEquals("cancelled", users.lastState(goes));
    run(60);
    endSlowness();
    assertEquals("done", users.lastState(array));
    assertEquals("done", users.lastState(gang));
    assertEquals(3, world.tasks.runningTasks(stays));
  }

  /** A leader crashes, or is refused alone, while the store is slow: another one takes over. */
  @ParameterizedTest(name = "seed {0}, {1} s each way, {2}")
  @CsvSource({
    "321, 0.3, crash",
    "322, 0.8, crash",
    "323, 1.0, crash",
    "324, 1.3, crash",
    "325, 1.8, crash",
    "331, 0.3, refused",
    "332, 0.8, refused",
    "333, 1.0, refused",
    "334, 1.3, refused",
    "335, 1.8, refused"
  })
  void anotherLeaderIsElectedByASlowStore(long seed, double eachWayS, String how) {
    begin(seed);
    JobId stays = submit("wk-1", "daemon", 3, 0);
    JobId goes = submit("wk-2", "batch", 6, 400);
    run(60);
    slow(240, eachWayS);
    run(20);
    int leaderships = world.counts.leaderships();
    int old = world.leader();
    if (how.equals("crash")) {
      world.controllers.crash(old, 60);
    } else {
      world.storeFaults.refuse(old, 30);
    }
    run(45);
    assertTrue(world.counts.leaderships() > leaderships, "nobody was elected");
    assertTrue(world.leader() >= 0 && world.leader() != old, "nobody leads");
    users.cancel(goes);
    JobId array = submit("wk-3", "batch", 4, 10);
    run(90);
    assertTrue(world.tasks.firstStartOf(array).isPresent(), "the array has not begun");
    assertEquals("cancelled", users.lastState(goes));
    assertEquals(0, world.tasks.runningTasks(goes));
    run(85);
    endSlowness();
    assertEquals("done", users.lastState(array));
    assertEquals(3, world.tasks.runningTasks(stays));
  }

  /** Every message takes long, those of users, workers and controllers too. */
  @ParameterizedTest(name = "seed {0}, {1} s each way")
  @CsvSource({"341, 0.3", "342, 0.8", "343, 1.0", "344, 1.3", "345, 1.8"})
  void urgentJobsStartOverSlowLinks(long seed, double eachWayS) {
    begin(seed);
    JobId stays = submit("wk-1", "daemon", 3, 0);
    JobId goes = submit("wk-2", "batch", 6, 400);
    run(60);
    world.networkFaults.slowLinks(eachWayS);
    run(10);
    users.submit(SubmissionBuilder.job("wk-3", "batch", 4).priority("high").team("blue"));
    users.cancel(goes);
    run(150);
    assertTrue(
        world.tasks.firstStartOf(new JobId("wk-3")).isPresent(), "urgent work has not begun");
    world.networkFaults.slowLinks(0);
    endSlowness();
    assertEquals("cancelled", users.lastState(goes));
    assertEquals(0, world.tasks.runningTasks(goes));
    assertEquals(3, world.tasks.runningTasks(stays));
  }

  /** However slow the key-value store is, a node answers users before they give up. */
  @ParameterizedTest(name = "{0} s each way")
  @CsvSource({"0.3", "0.8", "1.3", "1.8", "3"})
  void usersAreAnsweredInTime(double eachWayS) {
    begin(351);
    submit("wk-1", "batch", 2, 400);
    run(30);
    slow(120, eachWayS);
    List<String> late = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      int node = i % 3;
      ask(node, "GET", "/submissions/wk-1", null, 2, late);
      ask(node, "GET", "/submissions/wk-77", null, 2, late);
      SubmissionBuilder body = SubmissionBuilder.job("wk-2" + i, "batch", 1);
      world.jobs.add(body.spec());
      ask(node, "POST", "/submissions", body.bytes(), 5, late);
      body.dependsOn(List.of(new JobId("wk-1")));
      body.id("wk-3" + i);
      world.jobs.add(body.spec(), List.of(new JobId("wk-1")));
      ask(node, "POST", "/submissions", body.bytes(), 5, late);
      ask(node, "POST", "/submissions/wk-77/cancel", null, 5, late);
      world.clock.runFor(3);
    }
    world.clock.runFor(10);
    assertEquals(List.of(), late);
  }

  private void ask(
      int node, String method, String path, byte[] body, double withinS, List<String> late) {
    double asked = world.clock.seconds();
    Request request = new Request(method, path, body == null ? new byte[0] : body);
    String what = method + " " + path + " at node " + node;
    late.add(what + " was not answered");
    world.controllers.deliver(
        node,
        request,
        response -> {
          late.remove(what + " was not answered");
          double tookS = world.clock.seconds() - asked;
          if (tookS > withinS) {
            late.add(what + " took " + tookS + " s");
          }
        });
  }
}
