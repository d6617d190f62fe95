package org.ternhinge.controller;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Tuning;
import org.ternhinge.model.TaskId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.TaskObservations.Start;

/**
 * Measures loss and return of a zone with zone failover off and on, in the simulated cluster. It
 * takes too long for CI, so its name does not match the pattern of tests; run it with {@code mvn
 * test -Dtest=ZoneFailoverMeasurement}.
 */
class ZoneFailoverMeasurement extends ZoneFailoverFixture {
  private static final double CUT_S = 60;
  private static final double AFTER_S = 90;
  private static final int TASK_S = 400;

  @ParameterizedTest(name = "{0} machines per offer, {1} jobs per tier, seed {2}, failover {3}")
  @CsvSource({
    "20, 3, 1, false",
    "20, 3, 1, true",
    "20, 3, 2, false",
    "20, 3, 2, true",
    "60, 9, 1, false",
    "60, 9, 1, true",
    "60, 9, 2, false",
    "60, 9, 2, true",
    "300, 45, 1, false",
    "300, 45, 1, true",
    "300, 45, 2, false",
    "300, 45, 2, true",
    "900, 140, 1, false",
    "900, 140, 1, true"
  })
  void measureZoneLossAndReturn(int machines, int jobs, long seed, boolean failover) {
    SimCluster.Size size = new SimCluster.Size(3, machines, 100_000, 60);
    Tuning tuning = failover ? Tuning.DEFAULT.withZoneFailover(SETTINGS) : Tuning.DEFAULT;
    startCluster(seed, size, tuning);
    submitAllTiers(jobs, 8, TASK_S);
    run(90);
    Set<TaskId> lost = new HashSet<>(tasksInFirstZone());
    int live = cluster.machines.live().size();
    long changes = cluster.counts.storeChanges();
    long commands = cluster.counts.commandCalls();
    double cutAt = cluster.clock.seconds();
    cluster.networkFaults.dropDuringPartitions();
    cutFirstZone(CUT_S);
    run(CUT_S);
    double backAt = cluster.clock.seconds();
    // New jobs of the size of the lost zone, to measure how fast that zone is used again.
    submitAllTiers(jobs, 8, TASK_S);
    run(AFTER_S);
    System.out.printf(
        Locale.ROOT,
        "| %d | %d | %s | %s | %d | %d | %d | %d |%n",
        live,
        lost.size(),
        failover ? "on" : "off",
        restartDelays(lost, cutAt),
        maxStartsPerSecond(backAt),
        cluster.violations().stream().filter(text -> text.startsWith("ran_twice")).count(),
        cluster.counts.storeChanges() - changes,
        cluster.counts.commandCalls() - commands);
  }

  /** Median and longest time from the cut to the restart for each tier, in seconds. */
  private String restartDelays(Set<TaskId> lost, double cutAt) {
    Map<Integer, List<Double>> byTier = new HashMap<>();
    Set<TaskId> seen = new HashSet<>();
    for (Start start : cluster.tasks.startsSince(cutAt)) {
      if (lost.contains(start.task()) && seen.add(start.task())) {
        byTier
            .computeIfAbsent(tierOf(start.task()), tier -> new ArrayList<>())
            .add(start.at() - cutAt);
      }
    }
    List<String> cells = new ArrayList<>();
    for (int tier = 0; tier < TIERS.size(); tier++) {
      List<Double> delays = byTier.getOrDefault(tier, List.of());
      List<Double> sorted = new ArrayList<>(delays);
      Collections.sort(sorted);
      cells.add(
          sorted.isEmpty()
              ? "-"
              : String.format(
                  Locale.ROOT,
                  "%.0f / %.0f",
                  sorted.get(sorted.size() / 2),
                  sorted.get(sorted.size() - 1)));
    }
    return String.join(" | ", cells);
  }

  private int maxStartsPerSecond(double from) {
    Map<Integer, Integer> perSecond = new HashMap<>();
    for (Start start : cluster.tasks.startsSince(from)) {
      if (start.zone().equals(FIRST_ZONE)) {
        perSecond.merge((int) (start.at() - from), 1, Integer::sum);
      }
    }
    return perSecond.values().stream().max(Integer::compare).orElse(0);
  }
}
