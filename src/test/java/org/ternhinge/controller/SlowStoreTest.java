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
 * The whole controller over a slow key-value store, on virtual time. Delays vary between a quarter
 * of the given delay and all of it.
 */
class SlowStoreTest {
  private static final double ELECTION_S = 5;

  private SimCluster cluster;
  private SimUsers users;

  private void startCluster(long seed) {
    cluster = new SimCluster(seed, 0, new SimCluster.Size(3, 4, 60, 30));
    users = new SimUsers(cluster);
    cluster.clock.runFor(ELECTION_S);
  }

  private JobId submit(String id, String kind, int tasks, double runS) {
    SubmissionBuilder body = SubmissionBuilder.job(id, kind, tasks).cpus(2.0).runsFor(runS);
    users.submit(body.productionIfService());
    return new JobId(id);
  }

  private void run(double seconds) {
    users.runWithPolling(seconds);
  }

  private void slowStore(double seconds, double eachWayS) {
    cluster.storeFaults.slowResponses(seconds, 2 * eachWayS);
  }

  private void assertRecovered() {
    run(30);
    users.expectTimelyAnswers();
    JobId last = submit("wk-9", "batch", 2, 5);
    double submitted = cluster.clock.seconds();
    run(60);
    assertTrue(
        cluster.tasks.firstStartOf(last).isPresent(),
        "a job submitted after the slow period has not started");
    double waitedS = cluster.tasks.firstStartOf(last).getAsDouble() - submitted;
    assertTrue(
        waitedS < 15, "a job submitted after the slow period started only after " + waitedS + " s");
    run(100);
    assertEquals("done", users.lastState(last));
    assertEquals(List.of(), cluster.violations());
  }

  /** The leader keeps its leadership, jobs are accepted and start, and cancellations persist. */
  @ParameterizedTest(name = "seed {0}, {1} s each way")
  @CsvSource({
    "301, 0.3", "302, 0.8", "303, 1.0", "304, 1.3", "305, 1.8",
    "311, 0.3", "312, 0.8", "313, 1.0", "314, 1.3", "315, 1.8"
  })
  void jobsProgressUnderSameLeader(long seed, double eachWayS) {
    startCluster(seed);
    JobId service = submit("wk-1", "daemon", 3, 0);
    JobId cancelled = submit("wk-2", "batch", 6, 400);
    run(60);
    assertEquals(6, cluster.tasks.runningTasks(cancelled));
    int leaderships = cluster.counts.leaderships();
    slowStore(200, eachWayS);
    run(10);
    JobId array = submit("wk-3", "batch", 4, 10);
    JobId gang = submit("wk-4", "group", 2, 20);
    run(20);
    users.cancel(cancelled);
    run(120);
    assertEquals(leaderships, cluster.counts.leaderships(), "leadership changed");
    assertTrue(cluster.tasks.firstStartOf(array).isPresent(), "the array has not started");
    assertTrue(cluster.tasks.firstStartOf(gang).isPresent(), "the gang has not started");
    assertEquals(0, cluster.tasks.runningTasks(cancelled));
    assertEquals("cancelled", users.lastState(cancelled));
    run(60);
    assertRecovered();
    assertEquals("done", users.lastState(array));
    assertEquals("done", users.lastState(gang));
    assertEquals(3, cluster.tasks.runningTasks(service));
  }

  /**
   * The leader crashes, or only the leader is refused, while the store is slow: another node takes
   * over.
   */
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
  void anotherLeaderIsElectedOverSlowStore(long seed, double eachWayS, String fault) {
    startCluster(seed);
    JobId service = submit("wk-1", "daemon", 3, 0);
    JobId cancelled = submit("wk-2", "batch", 6, 400);
    run(60);
    slowStore(240, eachWayS);
    run(20);
    int leaderships = cluster.counts.leaderships();
    int oldLeader = cluster.leader();
    if (fault.equals("crash")) {
      cluster.controllers.crash(oldLeader, 60);
    } else {
      cluster.storeFaults.refuse(oldLeader, 30);
    }
    run(45);
    assertTrue(cluster.counts.leaderships() > leaderships, "no leader was elected");
    assertTrue(cluster.leader() >= 0 && cluster.leader() != oldLeader, "no new leader");
    users.cancel(cancelled);
    JobId array = submit("wk-3", "batch", 4, 10);
    run(90);
    assertTrue(cluster.tasks.firstStartOf(array).isPresent(), "the array has not started");
    assertEquals("cancelled", users.lastState(cancelled));
    assertEquals(0, cluster.tasks.runningTasks(cancelled));
    run(85);
    assertRecovered();
    assertEquals("done", users.lastState(array));
    assertEquals(3, cluster.tasks.runningTasks(service));
  }

  /** Every message is slow, including those of users, workers and controllers. */
  @ParameterizedTest(name = "seed {0}, {1} s each way")
  @CsvSource({"341, 0.3", "342, 0.8", "343, 1.0", "344, 1.3", "345, 1.8"})
  void urgentJobsStartOverSlowLinks(long seed, double eachWayS) {
    startCluster(seed);
    JobId service = submit("wk-1", "daemon", 3, 0);
    JobId cancelled = submit("wk-2", "batch", 6, 400);
    run(60);
    cluster.networkFaults.slowLinks(eachWayS);
    run(10);
    users.submit(SubmissionBuilder.job("wk-3", "batch", 4).priority("high").team("blue"));
    users.cancel(cancelled);
    run(150);
    assertTrue(
        cluster.tasks.firstStartOf(new JobId("wk-3")).isPresent(),
        "the urgent job has not started");
    cluster.networkFaults.slowLinks(0);
    assertRecovered();
    assertEquals("cancelled", users.lastState(cancelled));
    assertEquals(0, cluster.tasks.runningTasks(cancelled));
    assertEquals(3, cluster.tasks.runningTasks(service));
  }

  /** However slow the key-value store is, a node answers users within their timeouts. */
  @ParameterizedTest(name = "{0} s each way")
  @CsvSource({"0.3", "0.8", "1.3", "1.8", "3"})
  void usersAreAnsweredInTime(double eachWayS) {
    startCluster(351);
    submit("wk-1", "batch", 2, 400);
    run(30);
    slowStore(120, eachWayS);
    List<String> late = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      int node = i % 3;
      sendTimed(node, "GET", "/submissions/wk-1", null, 2, late);
      sendTimed(node, "GET", "/submissions/wk-77", null, 2, late);
      SubmissionBuilder body = SubmissionBuilder.job("wk-2" + i, "batch", 1);
      cluster.jobs.add(body.spec());
      sendTimed(node, "POST", "/submissions", body.bytes(), 5, late);
      body.dependsOn(List.of(new JobId("wk-1")));
      body.id("wk-3" + i);
      cluster.jobs.add(body.spec(), List.of(new JobId("wk-1")));
      sendTimed(node, "POST", "/submissions", body.bytes(), 5, late);
      sendTimed(node, "POST", "/submissions/wk-77/cancel", null, 5, late);
      cluster.clock.runFor(3);
    }
    cluster.clock.runFor(10);
    assertEquals(List.of(), late);
  }

  private void sendTimed(
      int node, String method, String path, byte[] body, double withinS, List<String> late) {
    double sentAt = cluster.clock.seconds();
    Request request = new Request(method, path, body == null ? new byte[0] : body);
    String what = method + " " + path + " at node " + node;
    late.add(what + " was not answered");
    cluster.controllers.deliver(
        node,
        request,
        response -> {
          late.remove(what + " was not answered");
          double tookS = cluster.clock.seconds() - sentAt;
          if (tookS > withinS) {
            late.add(what + " took " + tookS + " s");
          }
        });
  }
}
