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
 * provisioned in the first zone as long as the cloud has any there, so that zone is cut off.
 */
abstract class ZoneFailoverFixture {
  static final String FIRST = "north";
  static final List<String> ZONES = List.of(FIRST, "east", "west");
  static final List<String> TIERS = List.of("warning", "chart", "climate");

  static final ZoneFailoverSettings SETTINGS = settings(ZoneFailoverSettings.DEFAULT.release());

  static final SimCluster.Size SIZE = new SimCluster.Size(3, 20, 400, 60);

  /** Longer than a lease, the failover and the boot of new machines together. */
  static final double RESTART_S = 90;

  private static final double JOBS_END_S = 240;

  SimCluster cluster;
  SimUsers users;
  private final Map<MachineId, String> zones = new HashMap<>();
  private int jobs;

  private static Tier tier(String jobClass) {
    Set<String> classes = jobClass.isEmpty() ? Set.of() : Set.of(jobClass);
    String name = jobClass.isEmpty() ? "rest" : jobClass;
    return new Tier(name, Set.of(), classes, Set.of(), Set.<Priority>of());
  }

  /** The usual settings with another rate of releases. */
  static ZoneFailoverSettings settings(ZoneFailoverSettings.Release release) {
    return new ZoneFailoverSettings(
        ZoneFailoverSettings.DEFAULT.detection(),
        ZoneFailoverSettings.DEFAULT.flapDamping(),
        release,
        ZoneFailoverSettings.DEFAULT.pace(),
        List.of(tier("warning"), tier("chart"), tier("")));
  }

  final void begin(long seed) {
    begin(seed, SIZE, Tuning.DEFAULT.withZoneFailover(SETTINGS));
  }

  final void begin(long seed, SimCluster.Size size, Tuning tuning) {
    cluster = new SimCluster(seed, 0, size, null, new SimCluster.Site(ZONES, tuning));
    users = new SimUsers(cluster);
    jobs = 0;
    cluster.clock.runFor(5);
  }

  final JobId submit(SubmissionBuilder body) {
    users.submit(body);
    return body.id();
  }

  /** A job of a tier, named after it; its tasks take two CPUs each. */
  final SubmissionBuilder job(int tier, String kind, int tasks, double runS) {
    String id = String.format("wk-%d%05d", tier + 1, ++jobs);
    SubmissionBuilder body = SubmissionBuilder.job(id, kind, tasks).jobClass(TIERS.get(tier));
    body.cpus(2.0).runsFor(runS);
    return body.productionIfService();
  }

  /** Arrays of every tier, the least important first, that fill most of the first zone. */
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

  /** Tasks that run in the first zone now. */
  final Set<TaskId> runningInFirst() {
    for (SimWorker worker : cluster.machines.live()) {
      zones.put(worker.id(), worker.zone());
    }
    return cluster.tasks.runningIn(FIRST, zones);
  }

  final void cutFirst(double seconds) {
    cluster.machineFaults.isolateZone(FIRST, seconds);
  }

  /** Restarts may be observed out of order by so much, since commands take different times. */
  static final double COMMAND_S = 0.5;

  /** When the first and the last tasks of each tier started again. */
  static final class Spans {
    private final double[] first = {1e9, 1e9, 1e9};
    private final double[] last = new double[3];

    static Spans of(Map<TaskId, Start> restarts) {
      Spans spans = new Spans();
      restarts.forEach(
          (task, start) -> {
            int tier = tierOf(task);
            spans.first[tier] = Math.min(spans.first[tier], start.at());
            spans.last[tier] = Math.max(spans.last[tier], start.at());
          });
      return spans;
    }

    void assertInOrder() {
      assertTrue(last[0] <= first[1] + COMMAND_S, last[0] + " before " + first[1]);
      assertTrue(last[1] <= first[2] + COMMAND_S, last[1] + " before " + first[2]);
    }
  }

  /** Cuts the first zone off and returns the tasks that were running there. */
  final Set<TaskId> loseTheFirstZone(double seconds) {
    Set<TaskId> lost = runningInFirst();
    cluster.networkFaults.dropDuringPartitions();
    cutFirst(seconds);
    return lost;
  }

  /** The first start of each of these tasks from a time on, outside the first zone. */
  final Map<TaskId, Start> restarts(Set<TaskId> tasks, double from) {
    Map<TaskId, Start> restarts = new HashMap<>();
    for (Start start : cluster.tasks.startsSince(from)) {
      if (tasks.contains(start.task()) && !start.zone().equals(FIRST)) {
        restarts.putIfAbsent(start.task(), start);
      }
    }
    return restarts;
  }

  /** Those of these tasks that started from a time on. */
  final Set<TaskId> startsOf(Set<TaskId> tasks, double from) {
    Set<TaskId> started = new HashSet<>();
    for (Start start : cluster.tasks.startsSince(from)) {
      if (tasks.contains(start.task())) {
        started.add(start.task());
      }
    }
    return started;
  }

  /** Runs all jobs to their ends and asserts that no rule was broken and that each ended well. */
  final void assertRulesHoldToTheEnd() {
    run(60);
    users.cancelServices();
    users.expectTimelyAnswers();
    run(JOBS_END_S);
    assertEquals(List.of(), cluster.violations());
    for (JobId id : users.accepted()) {
      if (!users.mayBeCancelled(id)) {
        assertEquals("done", users.lastState(id), id.value());
      }
    }
  }
}
