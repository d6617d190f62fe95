package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.config.Tuning;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.config.ZoneFailoverSettings.Tier;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.TaskId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;
import org.ternhinge.sim.SimWorker;
import org.ternhinge.sim.SubmissionBuilder;
import org.ternhinge.sim.TaskObservations.Start;
import org.ternhinge.wire.Priority;

/**
 * A simulated cluster of three zones with ordered failover, on virtual time. Machines are
 * provisioned in the first zone for as long as the cloud has capacity there, so that is the zone
 * that tests cut off.
 */
abstract class ZoneFailoverFixture {
  static final String FIRST_ZONE = "north";
  static final List<String> ZONES = List.of(FIRST_ZONE, "east", "west");
  static final List<String> TIERS = List.of("warning", "chart", "climate");

  static final ZoneFailoverSettings SETTINGS = settings(ZoneFailoverSettings.DEFAULT.release());

  static final SimCluster.Size SIZE = new SimCluster.Size(3, 20, 400, 60);

  /** Longer than lease expiry, failover and the boot of new machines together. */
  static final double RESTART_S = 90;

  private static final double JOB_COMPLETION_S = 240;

  SimCluster cluster;
  SimUsers users;
  private final Map<MachineId, String> zones = new HashMap<>();
  private int jobs;

  private static Tier tier(String jobClass) {
    Set<String> classes = jobClass.isEmpty() ? Set.of() : Set.of(jobClass);
    String name = jobClass.isEmpty() ? "rest" : jobClass;
    return new Tier(name, Set.of(), classes, Set.of(), Set.<Priority>of());
  }

  /** The default failover settings with the tiers of these tests and the given release settings. */
  static ZoneFailoverSettings settings(ZoneFailoverSettings.Release release) {
    return new ZoneFailoverSettings(
        ZoneFailoverSettings.DEFAULT.detection(),
        ZoneFailoverSettings.DEFAULT.flapDamping(),
        release,
        ZoneFailoverSettings.DEFAULT.pace(),
        List.of(tier("warning"), tier("chart"), tier("")));
  }

  final void startCluster(long seed) {
    startCluster(seed, SIZE, Tuning.DEFAULT.withZoneFailover(SETTINGS));
  }

  final void startCluster(long seed, SimCluster.Size size, Tuning tuning) {
    cluster = new SimCluster(seed, 0, size, null, new SimCluster.Site(ZONES, tuning));
    users = new SimUsers(cluster);
    jobs = 0;
    cluster.clock.runFor(5);
  }

  final JobId submit(SubmissionBuilder body) {
    users.submit(body);
    return body.id();
  }

  /** A job of a tier, whose number is the first digit of its name; its tasks take two CPUs each. */
  final SubmissionBuilder job(int tier, String kind, int tasks, double runS) {
    String id = String.format("wk-%d%05d", tier + 1, ++jobs);
    SubmissionBuilder body = SubmissionBuilder.job(id, kind, tasks).jobClass(TIERS.get(tier));
    body.cpus(2.0).runsFor(runS);
    return body.productionIfService();
  }

  /**
   * Submits array jobs of every tier, the least important first, which fill most of the first zone.
   */
  final void submitAllTiers(int jobsEach, int tasks, double runS) {
    for (int i = 0; i < jobsEach; i++) {
      for (int tier = TIERS.size() - 1; tier >= 0; tier--) {
        submit(job(tier, "batch", tasks, runS));
      }
    }
  }

  static int tierOf(TaskId task) {
    return task.job().value().charAt(3) - '1';
  }

  /** Advances the clock while users poll their jobs. */
  final void run(double seconds) {
    users.runWithPolling(seconds);
  }

  /** The tasks that currently run in the first zone. */
  final Set<TaskId> tasksInFirstZone() {
    for (SimWorker worker : cluster.machines.live()) {
      zones.put(worker.id(), worker.zone());
    }
    return cluster.tasks.runningIn(FIRST_ZONE, zones);
  }

  final void cutFirstZone(double seconds) {
    cluster.machineFaults.isolateZone(FIRST_ZONE, seconds);
  }

  /**
   * Restarts may be observed out of order by this many seconds, since commands differ in latency.
   */
  static final double COMMAND_JITTER_S = 0.5;

  /** Times of the first and the last restart of each tier. */
  static final class RestartSpans {
    private final double[] first = {1e9, 1e9, 1e9};
    private final double[] last = new double[3];

    static RestartSpans of(Map<TaskId, Start> restarts) {
      RestartSpans spans = new RestartSpans();
      restarts.forEach(
          (task, start) -> {
            int tier = tierOf(task);
            spans.first[tier] = Math.min(spans.first[tier], start.at());
            spans.last[tier] = Math.max(spans.last[tier], start.at());
          });
      return spans;
    }

    void assertInOrder() {
      assertTrue(last[0] <= first[1] + COMMAND_JITTER_S, last[0] + " before " + first[1]);
      assertTrue(last[1] <= first[2] + COMMAND_JITTER_S, last[1] + " before " + first[2]);
    }
  }

  /** Cuts off the first zone and returns the tasks that were running there. */
  final Set<TaskId> loseFirstZone(double seconds) {
    Set<TaskId> lost = tasksInFirstZone();
    cluster.networkFaults.dropDuringPartitions();
    cutFirstZone(seconds);
    return lost;
  }

  /** The first start of each of these tasks outside the first zone since the given time. */
  final Map<TaskId, Start> restarts(Set<TaskId> tasks, double from) {
    Map<TaskId, Start> restarts = new HashMap<>();
    for (Start start : cluster.tasks.startsSince(from)) {
      if (tasks.contains(start.task()) && !start.zone().equals(FIRST_ZONE)) {
        restarts.putIfAbsent(start.task(), start);
      }
    }
    return restarts;
  }

  /** The subset of these tasks that have started since the given time. */
  final Set<TaskId> startedSince(Set<TaskId> tasks, double from) {
    Set<TaskId> started = new HashSet<>();
    for (Start start : cluster.tasks.startsSince(from)) {
      if (tasks.contains(start.task())) {
        started.add(start.task());
      }
    }
    return started;
  }

  /**
   * Runs until all jobs have ended, then asserts that no invariant was violated and that each job
   * that nobody may have cancelled is done.
   */
  final void assertNoViolationsAtEnd() {
    run(60);
    users.cancelServices();
    users.expectTimelyAnswers();
    run(JOB_COMPLETION_S);
    assertEquals(List.of(), cluster.violations());
    for (JobId id : users.accepted()) {
      if (!users.mayBeCancelled(id)) {
        assertEquals("done", users.lastState(id), id.value());
      }
    }
  }
}
