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
 * Users who poll their jobs eight times as often as usual, under the limit of the key-value store
 * on requests.
 */
class ManyQuestionsTest {
  private static final double REQUESTS = 80;
  private static final int JOBS = 60;

  /** Usually 5 s. */
  private static final double POLL_INTERVAL_S = 0.6;

  /** A job without an answer for so long counts as forgotten. */
  private static final double FORGOTTEN_S = 75;

  private final DependentJobs cluster =
      DependentJobs.withoutAnnouncedLimits(53, new SimCluster.Size(5, 8, 400, 30));
  private final Map<JobId, Double> answeredAt = new HashMap<>();
  private double longestWithoutAnswer;

  private void ask(JobId job) {
    cluster.world.controllers.user(
        new Request("GET", "/submissions/" + job, new byte[0]),
        response -> {
          if (response != null && response.status() == 200) {
            answered(job);
          }
        });
  }

  private void answered(JobId job) {
    double now = cluster.world.clock.seconds();
    longestWithoutAnswer = Math.max(longestWithoutAnswer, now - answeredAt.getOrDefault(job, now));
    answeredAt.put(job, now);
  }

  private void askAll(List<JobId> jobs, double seconds) {
    for (double t = 0; t < seconds; t += POLL_INTERVAL_S) {
      jobs.forEach(this::ask);
      cluster.world.clock.runFor(POLL_INTERVAL_S);
    }
  }

  /**
   * Some 100 questions a second. Each job's is answered in turn, what users submit and cancel
   * meanwhile is taken at once, and tasks start.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({"no fault", "the leader ends", "the leader is refused", "all end"})
  void eachQuestionIsAnsweredAndNothingElseWaits(String fault) {
    cluster.world.store.limitRequests(REQUESTS);
    List<JobId> jobs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      jobs.add(cluster.submit(String.format("wk-1%02d", i), 1, 200));
    }
    cluster.run(30);
    askAll(jobs, 6);
    long reads = cluster.world.counts.storeReads();
    beginFault(fault);
    askAll(jobs, 12);
    cluster.users.cancel(jobs.get(0));
    JobId late = cluster.submit("wk-2", 2, 3);
    askAll(jobs, 12);
    assertTrue(
        cluster.world.tasks.firstStartOf(late).isPresent(), "a job of that time has not begun");
    askAll(jobs, 30);
    assertEquals(JOBS, answeredAt.size(), "jobs that were answered for");
    assertTrue(longestWithoutAnswer < FORGOTTEN_S / 2, longestWithoutAnswer + " s without answer");
    double readsPerS = (cluster.world.counts.storeReads() - reads) / 54.0;
    assertTrue(readsPerS < REQUESTS / 4, readsPerS + " reads a second");
    cluster.run(6);
    assertEquals("cancelled", cluster.users.lastState(jobs.get(0)));
    cluster.assertNoRuleBroken();
  }

  private void beginFault(String fault) {
    int leader = cluster.world.leader();
    switch (fault) {
      case "the leader ends" -> cluster.world.controllers.crash(leader, 5);
      case "the leader is refused" -> cluster.world.storeFaults.refuse(leader, 40);
      case "all end" -> {
        for (int i = 0; i < cluster.world.nodeCount(); i++) {
          cluster.world.controllers.crash(i, 5 + i * 0.2);
        }
      }
      default -> {}
    }
  }
}
