package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.model.TaskId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SubmissionBuilder;
import org.ternhinge.store.Change;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;

/**
 * The key-value store's limits are lowered without notice: records written under the larger limits
 * stay usable, no transaction is too large, and no leadership is lost.
 */
class RecordLimitsTest {
  private ClusterFixture cluster;

  /**
   * The limits are lowered while records exist that the old version wrote under the larger limits.
   * No leadership is lost, and all jobs end as expected.
   */
  @ParameterizedTest(name = "{0} jobs of {1}, kind {2}, lowered {3}")
  @CsvSource({
    "1, 127, batch, before",
    "1, 300, batch, before",
    "3, 300, batch, before",
    "3, 300, batch, after",
    "2, 127, group, before",
    "2, 127, group, after",
    "2, 127, daemon, before",
    "3, 300, cancelled, before",
    "3, 300, cancelled, after",
    "2, 300, half, before"
  })
  void largeRecordsOfOldVersionStayUsable(int count, int tasks, String kind, String lowered)
      throws Exception {
    cluster = new ClusterFixture(381, 0, new SimCluster.Size(3, 20, 400, 30));
    cluster.run(10);
    for (int i = 0; i < 3; i++) {
      cluster.simulation.controllers.crash(i, 3 + i * 0.2);
    }
    List<JobId> all = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      all.add(storeOldVersionJob("wk-" + (100 + number), tasks, kind, number));
    }
    if (lowered.equals("before")) {
      cluster.simulation.storeFaults.lowerLimits();
    }
    int leaderships = cluster.simulation.counts.leaderships();
    cluster.run(12);
    if (!lowered.equals("before")) {
      cluster.simulation.storeFaults.lowerLimits();
    }
    JobId next = cluster.submit("wk-5", 20, 5);
    JobId after = cluster.submit("wk-6", 2, 5, next);
    cluster.run(240);
    if (kind.equals("daemon")) {
      all.forEach(
          id ->
              assertEquals(tasks, cluster.simulation.tasks.runningTasks(id), "replicas of " + id));
      all.forEach(cluster.users::cancel);
    }
    cluster.run(60);
    cluster.users.expectTimelyAnswers();
    cluster.run(400);
    cluster.assertNoViolations();
    assertEquals(leaderships + 1, cluster.simulation.counts.leaderships(), "no leadership is lost");
    boolean cancelled = kind.equals("cancelled") || kind.equals("daemon");
    all.forEach(
        id ->
            assertEquals(
                cancelled ? "cancelled" : "done", cluster.users.lastState(id), id.value()));
    assertEquals("done", cluster.users.lastState(next));
    assertEquals("done", cluster.users.lastState(after));
    for (JobId id : all) {
      assertEquals(null, cluster.simulation.store.value("j/" + id), "the record was not removed");
    }
  }

  /**
   * Stores a job as the old version does, in segments of 127 tasks, with each task on its own
   * machine that no longer exists; for the kind "half", every other task is done.
   */
  private JobId storeOldVersionJob(String id, int tasks, String kind, int number) throws Exception {
    boolean array = !kind.equals("group") && !kind.equals("daemon");
    SubmissionBuilder body = SubmissionBuilder.job(id, array ? "batch" : kind, tasks).runsFor(5.0);
    body.productionIfService();
    JobSpec spec = body.spec();
    cluster.simulation.jobs.add(spec);
    List<Change> records = new ArrayList<>();
    for (int from = 0; from < tasks; from += 127) {
      ObjectNode record = Json.object();
      if (from == 0) {
        record.set("s", spec.write());
        record.put("t", cluster.simulation.clock.wallClockMillis()).put("p", 127).put("h", 1);
        if (kind.equals("cancelled")) {
          record.put("c", true);
        }
      }
      int to = Math.min(tasks, from + 127);
      List<String> done = new ArrayList<>();
      ArrayNode open = Json.object().putArray("o");
      for (int i = from; i < to; i++) {
        if (kind.equals("half") && i % 2 == 0) {
          done.add(Integer.toString(i));
          cluster.simulation.jobs.markCompleted(new TaskId(spec.id(), i));
        } else {
          open.add(String.format("1:n-%06d:1:0:%d", 900_000 + number * 1000 + i, i));
        }
      }
      record.put("d", String.join(",", done)).set("o", open);
      String key = from == 0 ? "j/" + id : "j/" + id + "/" + from / 127;
      records.add(new Change.Put(key, record, 0));
    }
    cluster.simulation.store.put(records);
    cluster.users.assumeAccepted(spec);
    if (kind.equals("cancelled")) {
      cluster.users.cancel(spec.id());
    }
    return spec.id();
  }

  /** Jobs make progress at the lower write rate, and no transaction is too large. */
  @ParameterizedTest(name = "seed {0}, lowered at {1} s")
  @CsvSource({"391, 0", "392, 12", "393, 30"})
  void jobsCompleteUnderLowerLimits(long seed, double at) {
    cluster = new ClusterFixture(seed, 0, new SimCluster.Size(3, 10, 200, 30));
    cluster.simulation.clock.schedule(at, cluster.simulation.storeFaults::lowerLimits);
    int leaderships = cluster.simulation.counts.leaderships();
    List<JobId> firsts = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      firsts.add(cluster.submit("wk-1" + String.format("%02d", i), 150, 6));
      JobId second = cluster.submit("wk-2" + String.format("%02d", i), 20, 6, firsts.get(i));
      cluster.submit("wk-3" + String.format("%02d", i), 2, 6, second, firsts.get(0));
      cluster.run(6);
    }
    cluster.run(500);
    cluster.users.expectTimelyAnswers();
    cluster.run(100);
    cluster.assertNoViolations();
    assertEquals(leaderships, cluster.simulation.counts.leaderships(), "no leadership is lost");
    assertEquals(36, cluster.users.accepted().size());
    cluster
        .users
        .accepted()
        .forEach(id -> assertEquals("done", cluster.users.lastState(id), id.value()));
    assertFalse(cluster.simulation.counts.storeChanges() == 0);
    assertNotEquals(0, cluster.simulation.tasks.starts());
  }

  /**
   * Controllers without announced limits write large records for jobs on many machines. They are
   * replaced one after another, then the limits are lowered while the jobs run.
   */
  @ParameterizedTest(name = "{0}, lowered {1} s after the last is replaced")
  @CsvSource({"batch, 0", "batch, 10", "batch, 25", "group, 5", "daemon, 0", "daemon, 20"})
  void largeRecordsOfRunningJobsStayUsable(String kind, double lowered) {
    cluster = ClusterFixture.withoutAnnouncedLimits(401, new SimCluster.Size(3, 160, 1200, 30));
    List<JobId> all = runOneTaskPerMachine(kind);
    int largest =
        all.stream()
            .mapToInt(id -> Json.bytes(cluster.simulation.store.value("j/" + id)).length)
            .max()
            .orElse(0);
    assertTrue(largest > 2500, "largest record has " + largest + " bytes");
    cluster.simulation.announce(SimCluster.ANNOUNCED);
    for (int i = 0; i < 3; i++) {
      cluster.simulation.controllers.crash(i, 2);
      cluster.run(6);
    }
    int leaderships = cluster.simulation.counts.leaderships();
    all.forEach(
        id ->
            assertTrue(
                cluster.simulation.tasks.runningTasks(id) > 100,
                cluster.simulation.tasks.runningTasks(id) + " running tasks"));
    cluster.run(lowered);
    cluster.simulation.storeFaults.lowerLimits();
    JobId next = cluster.submit("wk-2", 20, 5, kind.equals("daemon") ? new JobId[0] : toArray(all));
    cluster.run(60);
    if (kind.equals("daemon")) {
      assertReplicasRestored(all);
      all.forEach(cluster.users::cancel);
    }
    cluster.run(300);
    cluster.users.expectTimelyAnswers();
    cluster.run(200);
    cluster.assertNoViolations();
    assertEquals(leaderships, cluster.simulation.counts.leaderships(), "no leadership is lost");
    String end = kind.equals("daemon") ? "cancelled" : "done";
    all.forEach(id -> assertEquals(end, cluster.users.lastState(id), id.value()));
    assertEquals("done", cluster.users.lastState(next));
  }

  /**
   * Submits two jobs with one task per machine, then waits until all tasks run, at most until 90 s.
   */
  private List<JobId> runOneTaskPerMachine(String kind) {
    List<JobId> all = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      SubmissionBuilder body =
          ClusterFixture.job("wk-1" + i, 140, 200, List.of()).kind(kind).cpus(4.0);
      body.machineTypes("small");
      cluster.users.submit(body.spotAllowed(!kind.equals("daemon")));
      all.add(body.id());
    }
    while (cluster.simulation.clock.seconds() < 90
        && all.stream().anyMatch(id -> cluster.simulation.tasks.runningTasks(id) < 140)) {
      cluster.run(1);
    }
    return all;
  }

  private void assertReplicasRestored(List<JobId> services) {
    assertAllReplicasRun(services);
    for (var worker : cluster.simulation.machines.running(services.get(0)).subList(0, 30)) {
      cluster.simulation.machineFaults.restart(worker);
    }
    cluster.run(120);
    assertAllReplicasRun(services);
  }

  private void assertAllReplicasRun(List<JobId> services) {
    services.forEach(
        id -> assertEquals(140, cluster.simulation.tasks.runningTasks(id), "replicas of " + id));
  }

  private static JobId[] toArray(List<JobId> ids) {
    return ids.toArray(new JobId[0]);
  }
}
