package org.ternhinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.ternhinge.model.JobId;
import org.ternhinge.model.TaskId;
import org.ternhinge.sim.SubmissionBuilder;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;
import org.ternhinge.zone.report.ZoneLog;
import org.ternhinge.zone.report.ZoneReport;

/**
 * Failover of a zone over real sockets: three controller processes, and three zones of workers,
 * each behind a relay. One test partitions a zone, heals it and lets it flap twice within a minute;
 * the other restarts the leader during a partition.
 */
class ZoneFailoverIT {
  private static final List<String> ZONES = List.of("north", "east", "west");
  private static final String LOST = "north";
  private static final List<String> TIERS = List.of("warning", "chart", "climate");
  private static final int MACHINES_PER_ZONE = 12;
  private static final int TASKS = 9;
  private static final double HEARTBEAT_S = 1;
  private static final double LEASE_S = 8;
  private static final double CANCEL_S = 18;
  private static final double RUN_S = 30;
  private static final double SETTLE_S = 4;
  private static final double STEP_S = 2;

  /** Tolerance for the order of restarts, which commands and image fetches may change. */
  private static final double ORDER_TOLERANCE_S = 1.0;

  private static final String TUNING =
      """
      idle_s = 86400
      grace_s = 4
      leadership_s = 3
      renew_s = 1
      zone_failover {
        confirm_s = 2
        settle_s = 4
        step_s = 2
        steps = 3
        flap_half_life_s = 30
        tier_hold_s = 30
        tiers = [
          { name = "warnings", classes = ["warning"] },
          { name = "charts", classes = ["chart"] },
          { name = "climate" }
        ]
      }
      """;

  @RegisterExtension final ProcessLogs processLogs = new ProcessLogs();

  private final TaskHistory history = new TaskHistory();
  private final Map<JobId, Integer> jobs = new HashMap<>();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(16);
  private LoopbackCluster cluster;
  private LoopbackFleet fleet;
  private int jobCount;

  @AfterEach
  void tearDown() {
    if (fleet != null) {
      fleet.close();
    }
    if (cluster != null) {
      cluster.close();
    }
    timers.shutdownNow();
  }

  private void startCluster() throws Exception {
    Path tuning = processLogs.directory().resolve("tuning.hcl");
    Files.writeString(tuning, TUNING);
    LoopbackCluster.Options options =
        new LoopbackCluster.Options(ZONES, HEARTBEAT_S, LEASE_S, CANCEL_S, 400);
    cluster =
        new LoopbackCluster(
            processLogs.directory(), options, List.of("--tuning", tuning.toString()));
    LoopbackWorker.Context workers =
        new LoopbackWorker.Context(
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build(),
            timers,
            history,
            List.of(),
            HEARTBEAT_S,
            LEASE_S,
            RUN_S,
            DuplicateCommands.none(timers));
    cluster.startAll();
    fleet = new LoopbackFleet(ZONES, MACHINES_PER_ZONE, cluster.clientPorts(), workers);
    cluster.services().setFleet(fleet);
    fleet.awaitRegistered();
  }

  private static double now() {
    return System.nanoTime() / 1e9;
  }

  // ---- jobs -------------------------------------------------------------------------------------

  private void submitAllTiers(int jobsPerTier) throws InterruptedException {
    for (int i = 0; i < jobsPerTier; i++) {
      for (int tier = TIERS.size() - 1; tier >= 0; tier--) {
        submit(tier);
      }
    }
  }

  private JobId submit(int tier) throws InterruptedException {
    String id = String.format("wk-%d%05d", tier + 1, ++jobCount);
    byte[] bytes =
        SubmissionBuilder.job(id, "batch", TASKS).jobClass(TIERS.get(tier)).runsFor(RUN_S).bytes();
    int node = jobCount % LoopbackCluster.NODES;
    LoopbackCluster.waitUntil(
        "the job is accepted",
        () -> {
          int status = cluster.status(node, "POST", "/submissions", bytes);
          return status == 201 || status == 200;
        });
    jobs.put(new JobId(id), TASKS);
    return new JobId(id);
  }

  /** Queries the state of every job at every controller. */
  private void pollJobStates() {
    for (Map.Entry<JobId, Integer> job : jobs.entrySet()) {
      for (int node = 0; node < LoopbackCluster.NODES; node++) {
        String state = state(cluster.body(node, "/submissions/" + job.getKey()));
        if (!state.isEmpty()) {
          history.recordAnswer(job.getKey(), state, job.getValue());
        }
      }
    }
  }

  /** Returns the job state in a response; empty if it has none. */
  private static String state(String answer) {
    try {
      return Json.parse(answer.getBytes(StandardCharsets.UTF_8)).path("astand").asText("");
    } catch (WireException e) {
      return "";
    }
  }

  private void sleep(double seconds) throws InterruptedException {
    double end = now() + seconds;
    while (now() < end) {
      Thread.sleep(500);
    }
  }

  private static int tierOf(TaskId task) {
    return task.job().value().charAt(3) - '1';
  }

  private void awaitRunning(int tasks) throws InterruptedException {
    LoopbackCluster.waitUntil(tasks + " tasks run", () -> history.liveTasks() >= tasks);
  }

  private void awaitAllDone() throws InterruptedException {
    for (int i = 0; i < 3; i++) {
      try {
        awaitAllDoneOnce();
        return;
      } catch (AssertionError e) {
        // Lost tasks restart from the beginning, up to three times in these tests.
        assertTrue(i < 2, e.getMessage());
      }
    }
  }

  private void awaitAllDoneOnce() throws InterruptedException {
    LoopbackCluster.waitUntil(
        "all jobs are done",
        () -> {
          pollJobStates();
          return jobs.keySet().stream().allMatch(id -> "done".equals(history.finalState(id)));
        });
  }

  // ---- assertions -------------------------------------------------------------------------------

  private Map<TaskId, TaskHistory.Start> restarts(Set<TaskId> tasks, double from) {
    Map<TaskId, TaskHistory.Start> restarts = new HashMap<>();
    for (TaskHistory.Start start : history.startsSince(from)) {
      if (tasks.contains(start.task()) && !start.zone().equals(LOST)) {
        restarts.putIfAbsent(start.task(), start);
      }
    }
    return restarts;
  }

  private void assertRestartedInOrder(Set<TaskId> lost, double partitionedAt, double withinS)
      throws InterruptedException {
    while (restarts(lost, partitionedAt).size() < lost.size() && now() < partitionedAt + withinS) {
      Thread.sleep(200);
    }
    Map<TaskId, TaskHistory.Start> restarts = restarts(lost, partitionedAt);
    assertEquals(lost, restarts.keySet(), "all lost tasks run in other zones within " + withinS);
    double[] first = {1e9, 1e9, 1e9};
    double[] last = new double[TIERS.size()];
    restarts.forEach(
        (task, start) -> {
          int tier = tierOf(task);
          first[tier] = Math.min(first[tier], start.at() - partitionedAt);
          last[tier] = Math.max(last[tier], start.at() - partitionedAt);
        });
    assertTrue(
        last[0] <= first[1] + ORDER_TOLERANCE_S, "warnings by " + last[0] + ", charts " + first[1]);
    assertTrue(
        last[1] <= first[2] + ORDER_TOLERANCE_S, "charts by " + last[1] + ", climate " + first[2]);
  }

  /**
   * Asserts that starts in the recovered zone stay within the ramp-up limit, counted from its
   * return.
   */
  private void assertPaced(double healedAt, double endAt) {
    double rate = 0.1 * MACHINES_PER_ZONE;
    int started = 0;
    for (TaskHistory.Start start : history.startsSince(healedAt)) {
      if (start.zone().equals(LOST) && start.at() < endAt) {
        started++;
        double since = Math.max(0, start.at() - healedAt - SETTLE_S);
        double allowed = 1;
        for (int step = 0; step * STEP_S <= since; step++) {
          allowed += rate * Math.pow(2, step) * Math.min(STEP_S, since - step * STEP_S) + 1;
        }
        // Attempts that were opened before the partition may be started now.
        assertTrue(started <= allowed + 2, started + " starts, allowed " + allowed);
      }
    }
  }

  private void assertInvariantsHold() throws Exception {
    awaitAllDone();
    pollJobStates();
    assertEquals(List.of(), history.violations());
    Path log = processLogs.directory().resolve("all.log");
    Files.writeString(log, cluster.logs());
    ZoneLog events = ZoneLog.read(log);
    assertTrue(
        events.events().size() > 5, () -> "the log contains the zone events: " + events.events());
    assertEquals(0, events.malformed());
    Path page = processLogs.directory().resolve("zones.html");
    assertEquals(ZoneReport.Result.COMPLETE, ZoneReport.write(events, page));
    String text = Files.readString(page);
    assertTrue(text.contains("<h2>Doubled attempts</h2><p>None.</p>"), "no duplicate attempts");
  }

  // ---- tests ------------------------------------------------------------------------------------

  @Test
  void partitionedZoneIsFailedOverAndRampsUpAfterItsReturn() throws Exception {
    startCluster();
    submitAllTiers(3);
    awaitRunning(3 * TIERS.size() * TASKS);
    Set<TaskId> lost = history.liveIn(LOST);
    assertTrue(lost.size() >= 9, lost.size() + " tasks are lost");
    double partitionedAt = now();
    fleet.partition(LOST);
    assertRestartedInOrder(lost, partitionedAt, 25);
    Set<TaskId> moved = new HashSet<>(restarts(lost, partitionedAt).keySet());
    double healedAt = now();
    fleet.heal(LOST);
    List<JobId> next = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      next.add(submit(1));
    }
    sleep(SETTLE_S + 4);
    assertPaced(healedAt, now());
    for (TaskHistory.Start start : history.startsSince(healedAt)) {
      assertTrue(!moved.contains(start.task()), start.task() + " was moved back");
    }
    for (int i = 0; i < 2; i++) {
      fleet.partition(LOST);
      sleep(5);
      fleet.heal(LOST);
      sleep(4);
    }
    assertInvariantsHold();
    assertTrue(history.startsSince(0).stream().anyMatch(s -> next.contains(s.task().job())));
  }

  @Test
  void leaderRestartDuringPartitionStillFailsOver() throws Exception {
    startCluster();
    submitAllTiers(2);
    awaitRunning(2 * TIERS.size() * TASKS);
    Set<TaskId> lost = history.liveIn(LOST);
    assertTrue(lost.size() >= 9, lost.size() + " tasks are lost");
    double partitionedAt = now();
    fleet.partition(LOST);
    sleep(6);
    int leader = cluster.services().leader();
    cluster.kill(leader);
    cluster.restart(leader);
    assertRestartedInOrder(lost, partitionedAt, 60);
    fleet.heal(LOST);
    assertInvariantsHold();
  }
}
