package org.ternhinge.machine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.wire.MachineType;

/**
 * Tracks recent boot times and determines which booting machines are late. Guarded by the
 * controller's lock.
 *
 * <p>Boot times are kept per machine type and zone, as ratios to the nominal boot time of the type.
 * Machines that are still booting are included with the time elapsed so far. If a few machines are
 * late while many have come up, the late ones no longer count as expected capacity. If most
 * machines are late, the type is slow in that zone, and provisioning replacements for all of them
 * would only double the cost.
 */
public final class BootTimes {
  /** Multiple of the expected boot time within which machines usually come up. */
  private static final double OVERDUE_FACTOR = 1.5;

  /** Seconds within which a machine that is up sends its first heartbeat. */
  private static final double HEARTBEAT_MARGIN_S = 3;

  /** Age in seconds up to which an observed boot time is used. */
  private static final double OBSERVATION_WINDOW_S = 300;

  /** Ratio of a boot in the nominal time; always included as one observation. */
  private static final double NOMINAL_RATIO = 1;

  /**
   * Quantile of the boot ratios that is taken as the expected one. At least this share of machines
   * comes up in time if only some never do, and hardly any if all are slow.
   */
  private static final double ON_TIME_QUANTILE = 0.25;

  /** Share of the overdue machines that are late even if most machines are slow. */
  private static final double SLOW_POOL_LATE_SHARE = 0.25;

  /** Boot time-out as a multiple of the nominal boot time. */
  private static final double BOOT_TIMEOUT_FACTOR = 3;

  /** Like {@link #BOOT_TIMEOUT_FACTOR}, if most machines of the type are slow in the zone. */
  private static final double SLOW_BOOT_TIMEOUT_FACTOR = 8;

  /** Minimum boot time-out in seconds, in addition to the nominal boot time. */
  private static final double BOOT_TIMEOUT_MARGIN_S = 45;

  private static final Comparator<Machine> BY_PROVISION_TIME =
      Comparator.comparing(machine -> machine.cloud().provisionedAt());

  /** A completed boot, with its duration as a ratio to the nominal boot time. */
  private record Boot(MonotonicTime provisionedAt, MonotonicTime upAt, double ratio) {}

  /** The machines of one type in one zone. */
  private record Pool(String typeName, String zoneName) {}

  /** Boot statistics of one pool. */
  private static final class BootStatistics {
    /** Recent boots, oldest first. */
    private final Deque<Boot> boots = new ArrayDeque<>();

    /**
     * Machines that are still booting after more than {@link #OVERDUE_FACTOR} times the nominal
     * boot time.
     */
    private List<Machine> overdue = new ArrayList<>();

    /** Boot ratio at the quantile {@link #ON_TIME_QUANTILE}. */
    private double expectedRatio = NOMINAL_RATIO;

    void evictBefore(MonotonicTime time) {
      while (!boots.isEmpty() && boots.peekFirst().upAt().isBefore(time)) {
        boots.removeFirst();
      }
    }
  }

  private final MachineRegistry machines;
  private final MachineTypeCatalog machineTypes;
  private final MonotonicTime electedAt;
  private final Map<Pool, BootStatistics> statisticsByPool = new HashMap<>();

  /** Creates an instance without observed boots. */
  public BootTimes(
      MachineRegistry machines, MachineTypeCatalog machineTypes, MonotonicTime electedAt) {
    this.machines = machines;
    this.machineTypes = machineTypes;
    this.electedAt = electedAt;
  }

  /** Records the first heartbeat of a machine in this leadership. */
  public void recordBoot(Machine machine, MonotonicTime now) {
    MachineType machineType = machineType(machine);
    MonotonicTime provisionedAt = machine.cloud().provisionedAt();
    if (machineType == null || provisionedAt.isBefore(electedAt)) {
      // It may have sent its first heartbeat to an earlier leader.
      return;
    }
    double ratio = now.secondsSince(provisionedAt) / machineType.bootS();
    statistics(machine).boots.addLast(new Boot(provisionedAt, now, ratio));
  }

  /** Returns the machines that are late; they do not count as expected capacity. */
  public Set<MachineId> lateMachines(MonotonicTime now) {
    collectOverdue(now);
    Set<MachineId> late = new HashSet<>();
    for (BootStatistics statistics : statisticsByPool.values()) {
      statistics.expectedRatio = expectedRatio(statistics, now);
      addLate(statistics, now, late);
    }
    return late;
  }

  private void collectOverdue(MonotonicTime now) {
    for (BootStatistics statistics : statisticsByPool.values()) {
      statistics.overdue = new ArrayList<>();
      statistics.evictBefore(now.plusSeconds(-OBSERVATION_WINDOW_S));
    }
    for (Machine machine : machines.all()) {
      MachineType machineType = machineType(machine);
      if (machineType != null
          && isBooting(machine)
          && elapsedRatio(machine, machineType, now) > OVERDUE_FACTOR) {
        statistics(machine).overdue.add(machine);
      }
    }
  }

  private static boolean isBooting(Machine machine) {
    return !machine.agent().hasReported()
        && !machine.cloud().isTerminated()
        && !machine.cloud().isReleasing()
        && !machine.cloud().isListedRunning();
  }

  /**
   * Adds the machines that are late by the expected ratio of their pool and, of the other overdue
   * ones, a share with the earliest provision times.
   */
  private void addLate(BootStatistics statistics, MonotonicTime now, Set<MachineId> late) {
    List<Machine> otherOverdue = new ArrayList<>();
    for (Machine machine : statistics.overdue) {
      double ratio = elapsedRatio(machine, machineType(machine), now);
      if (ratio > OVERDUE_FACTOR * statistics.expectedRatio) {
        late.add(machine.id());
      } else {
        otherOverdue.add(machine);
      }
    }
    otherOverdue.sort(BY_PROVISION_TIME);
    int lateCount = (int) Math.ceil(otherOverdue.size() * SLOW_POOL_LATE_SHARE);
    for (Machine machine : otherOverdue.subList(0, lateCount)) {
      late.add(machine.id());
    }
  }

  /**
   * Computes the boot ratio at the quantile {@link #ON_TIME_QUANTILE}, at least the nominal one.
   * Overdue machines are included with their current ratio. Boots of machines that were provisioned
   * long before the overdue ones are excluded, since conditions may have changed.
   */
  private double expectedRatio(BootStatistics statistics, MonotonicTime now) {
    List<Double> ratios = new ArrayList<>();
    ratios.add(NOMINAL_RATIO);
    MonotonicTime windowStart = null;
    for (Machine machine : statistics.overdue) {
      MachineType machineType = machineType(machine);
      ratios.add(elapsedRatio(machine, machineType, now));
      MonotonicTime since = machine.cloud().provisionedAt().plusSeconds(-machineType.bootS());
      windowStart = windowStart == null || since.isBefore(windowStart) ? since : windowStart;
    }
    for (Boot boot : statistics.boots) {
      if (windowStart == null || !boot.provisionedAt().isBefore(windowStart)) {
        ratios.add(boot.ratio());
      }
    }
    Collections.sort(ratios);
    double ratio = ratios.get((int) ((ratios.size() - 1) * ON_TIME_QUANTILE));
    return Math.max(NOMINAL_RATIO, ratio);
  }

  /** Returns the elapsed boot time of a machine as a ratio to the nominal boot time. */
  private static double elapsedRatio(Machine machine, MachineType machineType, MonotonicTime now) {
    return (now.secondsSince(machine.cloud().provisionedAt()) - HEARTBEAT_MARGIN_S)
        / machineType.bootS();
  }

  /**
   * Returns whether a booting machine has exceeded its boot time-out and should be released, since
   * it will probably never come up.
   */
  public boolean hasBootTimedOut(Machine machine, MonotonicTime now) {
    MachineType machineType = machineType(machine);
    if (machineType == null || !isBooting(machine)) {
      return false;
    }
    boolean slow = statistics(machine).expectedRatio > OVERDUE_FACTOR;
    double factor = slow ? SLOW_BOOT_TIMEOUT_FACTOR : BOOT_TIMEOUT_FACTOR;
    double allowedS =
        Math.max(factor * machineType.bootS(), machineType.bootS() + BOOT_TIMEOUT_MARGIN_S);
    return now.secondsSince(machine.cloud().provisionedAt()) > allowedS;
  }

  /** Returns the expected boot time in seconds of a machine type in a zone. */
  public double expectedBootS(MachineType machineType, String zoneName) {
    BootStatistics statistics = statisticsByPool.get(new Pool(machineType.name(), zoneName));
    return machineType.bootS() * (statistics == null ? NOMINAL_RATIO : statistics.expectedRatio);
  }

  private BootStatistics statistics(Machine machine) {
    MachineDescription description = machine.description();
    return statisticsByPool.computeIfAbsent(
        new Pool(description.typeName(), description.zoneName()), pool -> new BootStatistics());
  }

  /** Returns the type of a machine; null if it is unknown. */
  private MachineType machineType(Machine machine) {
    return machineTypes.typeOf(machine).orElse(null);
  }
}
