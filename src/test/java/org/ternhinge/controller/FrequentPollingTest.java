package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.http.Request;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;

/**
 * Users poll their jobs eight times as often as usual, under a request rate limit of the key-value
 * store.
 */
class FrequentPollingTest {
  private static final double STORE_REQUESTS_PER_S = 80;
  private static final int JOBS = 60;

  /** Usual clients poll every 5 s. */
  private static final double POLL_INTERVAL_S = 0.6;

  /** A job whose polls are not answered for this long counts as lost. */
  private static final double MAX_UNANSWERED_S = 75;

  private final ClusterFixture cluster =
      ClusterFixture.withoutAnnouncedLimits(53, new SimCluster.Size(5, 8, 400, 30));
  private final Map<JobId, Double> answeredAt = new HashMap<>();
  private double longestWithoutAnswer;

  private void poll(JobId job) {
    cluster.simulation.controllers.user(
        new Request("GET", "/submissions/" + job, new byte[0]),
        response -> {
          if (response != null && response.status() == 200) {
            recordAnswer(job);
          }
        });
  }

  private void recordAnswer(JobId job) {
    double now = cluster.simulation.clock.seconds();
    longestWithoutAnswer = Math.max(longestWithoutAnswer, now - answeredAt.getOrDefault(job, now));
    answeredAt.put(job, now);
  }

  private void pollAll(List<JobId> jobs, double seconds) {
    for (double t = 0; t < seconds; t += POLL_INTERVAL_S) {
      jobs.forEach(this::poll);
      cluster.simulation.clock.runFor(POLL_INTERVAL_S);
    }
  }

  /**
   * About 100 polls a second. Each job's poll is answered in time; submissions and cancellations
   * are accepted meanwhile, and tasks start.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({"no fault", "the leader crashes", "the leader is refused", "all crash"})
  void everyPollIsAnsweredWithoutDelayingOtherWork(String fault) {
    cluster.simulation.store.limitRequests(STORE_REQUESTS_PER_S);
    List<JobId> jobs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      jobs.add(cluster.submit(String.format("wk-1%02d", i), 1, 200));
    }
    cluster.run(30);
    pollAll(jobs, 6);
    long reads = cluster.simulation.counts.storeReads();
    injectFault(fault);
    pollAll(jobs, 12);
    cluster.users.cancel(jobs.get(0));
    JobId late = cluster.submit("wk-2", 2, 3);
    pollAll(jobs, 12);
    assertTrue(
        cluster.simulation.tasks.firstStartOf(late).isPresent(),
        "the job submitted meanwhile has not started");
    pollAll(jobs, 30);
    assertEquals(JOBS, answeredAt.size(), "jobs whose polls were answered");
    assertTrue(
        longestWithoutAnswer < MAX_UNANSWERED_S / 2, longestWithoutAnswer + " s without an answer");
    double readsPerS = (cluster.simulation.counts.storeReads() - reads) / 54.0;
    assertTrue(readsPerS < STORE_REQUESTS_PER_S / 4, readsPerS + " reads per second");
    cluster.run(6);
    assertEquals("cancelled", cluster.users.lastState(jobs.get(0)));
    cluster.assertNoViolations();
  }

  private void injectFault(String fault) {
    int leader = cluster.simulation.leader();
    switch (fault) {
      case "the leader crashes" -> cluster.simulation.controllers.crash(leader, 5);
      case "the leader is refused" -> cluster.simulation.storeFaults.refuse(leader, 40);
      case "all crash" -> {
        for (int i = 0; i < cluster.simulation.nodeCount(); i++) {
          cluster.simulation.controllers.crash(i, 5 + i * 0.2);
        }
      }
      default -> {}
    }
  }
}
