package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.ternhinge.http.Request;
import org.ternhinge.ledger.RecordCodec;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SubmissionBuilder;
import org.ternhinge.store.Change;

/** Users of all nodes while the leader is alive but handles requests of the others late. */
class OverloadedLeaderTest {
  private static final int NODES = 5;

  /** As many jobs as are unfinished in a fleet of 4,000 machines. */
  private static final int JOBS = 1200;

  /** Requests per second that the key-value store of the largest fleet accepts. */
  private static final double STORE_RPS = 100;

  /** Later than a node waits for the leader before it asks the store; users wait for 2 s. */
  private static final double LEADER_DELAY_S = 1;

  private static final double POLL_INTERVAL_S = 5;

  /** Time without a response after which a job counts as forgotten, in seconds. */
  private static final double FORGOTTEN_S = 75;

  private final SimCluster cluster = new SimCluster(61, 0, new SimCluster.Size(NODES, 0, 60, 40));
  private final Map<JobId, Double> lastAnsweredAt = new HashMap<>();

  private List<JobId> storeQueuedJobs() {
    List<JobId> jobs = new ArrayList<>();
    List<Change> records = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      SubmissionBuilder job = SubmissionBuilder.job("wk-" + (10_000 + i), "batch", 1);
      jobs.add(job.spec().id());
      records.add(
          new Change.Put("j/" + job.spec().id(), RecordCodec.encodeNew(job.spec(), 1, 8192), 0));
    }
    cluster.store.put(records);
    return jobs;
  }

  /** Polls a job at its user's node at a fixed interval, as over a connection that stays open. */
  private void pollRegularly(JobId job, int node) {
    cluster.controllers.user(
        node,
        Request.get("/submissions/" + job),
        response -> {
          if (response != null && response.status() == 200) {
            lastAnsweredAt.put(job, cluster.clock.seconds());
          }
        });
    cluster.clock.schedule(POLL_INTERVAL_S, () -> pollRegularly(job, node));
  }

  @Test
  void everyJobIsAnsweredWhileTheLeaderRespondsLate() {
    List<JobId> jobs = storeQueuedJobs();
    cluster.store.limitRequests(STORE_RPS);
    cluster.clock.runFor(10);
    cluster.controllers.delayPeerRequests(cluster.leader(), LEADER_DELAY_S);
    double startedAt = cluster.clock.seconds();
    for (int i = 0; i < JOBS; i++) {
      JobId job = jobs.get(i);
      int node = i % NODES;
      cluster.clock.schedule(POLL_INTERVAL_S * i / JOBS, () -> pollRegularly(job, node));
    }
    cluster.clock.runFor(FORGOTTEN_S + POLL_INTERVAL_S);
    long forgotten = jobs.stream().filter(job -> !lastAnsweredAt.containsKey(job)).count();
    assertEquals(0, forgotten, "jobs without any answer since " + startedAt + " s");
  }
}
