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
 * Recent boot times of machines, and the provisioned machines that are late by these. Guarded by
 * the controller's lock.
 *
 * <p>Boot times are kept by machine type and zone, as ratios to the type's nominal boot time. A
 * machine that is still booting counts with its boot time so far. If few machines are late while
 * many have come up, the late ones no longer count as expected capacity; if most machines are late,
 * the type is slow in that zone, and provisioning all of them again would only cost twice.
 */
public final class BootTimes {
  /** Machines usually come up within this multiple of the expected boot time. */
  private static final double USUAL_SPREAD = 1.5;

  /** Seconds until a machine that is up has sent a heartbeat. */
  private static final double HEARTBEAT_MARGIN_S = 3;

  /** Seconds for which a boot time counts as recent. */
  private static final double RECENT_S = 300;

  /** Ratio of a machine that comes up in the nominal time; counts as one observed boot. */
  private static final double NOMINAL_RATIO = 1;

  /**
   * Share of the machines that have to come up in time for the others to count as late. At least so
   * many do where some machines never come up, hardly any where all of them are slow.
   */
  private static final double IN_TIME_SHARE = 0.25;

  /** Where most machines are slow, the share of the overdue ones that count as late anyway. */
  private static final double LATE_SHARE_WHERE_SLOW = 0.25;

  /** Multiple of the nominal boot time after which a machine is given up. */
  private static final double GIVE_UP_FACTOR = 3;

  /** The same where most machines of the type are slow in the zone. */
  private static final double GIVE_UP_FACTOR_WHERE_SLOW = 8;

  /** No machine is given up before this many seconds beyond its nominal boot time. */
  private static final double GIVE_UP_MARGIN_S = 45;

  private static final Comparator<Machine> BY_PROVISION_TIME =
      Comparator.comparing(machine -> machine.cloud().provisionedAt());

  /** A machine that has come up, with its boot time as a ratio to the nominal one. */
  private record Boot(MonotonicTime provisionedAt, MonotonicTime upAt, double ratio) {}

  /** The machines of one type in one zone. */
  private record Pool(String typeName, String zoneName) {}

  /** The boots in one pool. */
  private static final class BootStatistics {
    /** Recent boots, the latest one last. */
    private final Deque<Boot> boots = new ArrayDeque<>();

    /** Machines that are still booting beyond the usual spread. */
    private List<Machine> overdue = new ArrayList<>();

    /** The ratio within which the {@link #IN_TIME_SHARE} of machines comes up. */
    private double expectedRatio = NOMINAL_RATIO;

    void forgetBefore(MonotonicTime time) {
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
  public void cameUp(Machine machine, MonotonicTime now) {
    MachineType machineType = machineType(machine);
    MonotonicTime provisionedAt = machine.cloud().provisionedAt();
    if (machineType == null || provisionedAt.isBefore(electedAt)) {
      // It may have come up under an earlier leader.
      return;
    }
    double ratio = now.secondsSince(provisionedAt) / machineType.bootS();
    statistics(machine).boots.addLast(new Boot(provisionedAt, now, ratio));
  }

  /** The machines that should be up but are not; they do not count as expected capacity. */
  public Set<MachineId> late(MonotonicTime now) {
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
      statistics.forgetBefore(now.plusSeconds(-RECENT_S));
    }
    for (Machine machine : machines.all()) {
      MachineType machineType = machineType(machine);
      if (machineType != null
          && isBooting(machine)
          && ratioSoFar(machine, machineType, now) > USUAL_SPREAD) {
        statistics(machine).overdue.add(machine);
      }
    }
  }

  private static boolean isBooting(Machine machine) {
    return !machine.agent().isHeard()
        && !machine.cloud().isTerminated()
        && !machine.cloud().isReleasing()
        && !machine.cloud().isListedRunning();
  }

  /** Adds the machines that are late for their pool, and the oldest of those that are overdue. */
  private void addLate(BootStatistics statistics, MonotonicTime now, Set<MachineId> late) {
    List<Machine> others = new ArrayList<>();
    for (Machine machine : statistics.overdue) {
      double ratio = ratioSoFar(machine, machineType(machine), now);
      if (ratio > USUAL_SPREAD * statistics.expectedRatio) {
        late.add(machine.id());
      } else {
        others.add(machine);
      }
    }
    others.sort(BY_PROVISION_TIME);
    int lateCount = (int) Math.ceil(others.size() * LATE_SHARE_WHERE_SLOW);
    for (Machine machine : others.subList(0, lateCount)) {
      late.add(machine.id());
    }
  }

  /**
   * The ratio within which a share of the machines comes up, at least the nominal one. Overdue
   * machines count with their ratio so far. Boots of machines that were provisioned long before the
   * overdue ones are left out, since conditions may have changed since.
   */
  private double expectedRatio(BootStatistics statistics, MonotonicTime now) {
    List<Double> ratios = new ArrayList<>();
    ratios.add(NOMINAL_RATIO);
    MonotonicTime comparedSince = null;
    for (Machine machine : statistics.overdue) {
      MachineType machineType = machineType(machine);
      ratios.add(ratioSoFar(machine, machineType, now));
      MonotonicTime since = machine.cloud().provisionedAt().plusSeconds(-machineType.bootS());
      comparedSince =
          comparedSince == null || since.isBefore(comparedSince) ? since : comparedSince;
    }
    for (Boot boot : statistics.boots) {
      if (comparedSince == null || !boot.provisionedAt().isBefore(comparedSince)) {
        ratios.add(boot.ratio());
      }
    }
    Collections.sort(ratios);
    double ratio = ratios.get((int) ((ratios.size() - 1) * IN_TIME_SHARE));
    return Math.max(NOMINAL_RATIO, ratio);
  }

  /** The boot time of a machine so far, as a ratio to the nominal one. */
  private static double ratioSoFar(Machine machine, MachineType machineType, MonotonicTime now) {
    return (now.secondsSince(machine.cloud().provisionedAt()) - HEARTBEAT_MARGIN_S)
        / machineType.bootS();
  }

  /** Whether a machine that has not come up is to be released since it probably never will. */
  public boolean isGivenUp(Machine machine, MonotonicTime now) {
    MachineType machineType = machineType(machine);
    if (machineType == null || !isBooting(machine)) {
      return false;
    }
    boolean slow = statistics(machine).expectedRatio > USUAL_SPREAD;
    double factor = slow ? GIVE_UP_FACTOR_WHERE_SLOW : GIVE_UP_FACTOR;
    double allowedS =
        Math.max(factor * machineType.bootS(), machineType.bootS() + GIVE_UP_MARGIN_S);
    return now.secondsSince(machine.cloud().provisionedAt()) > allowedS;
  }

  /** Seconds that a machine of a type is expected to take to come up in a zone. */
  public double expectedS(MachineType machineType, String zoneName) {
    BootStatistics statistics = statisticsByPool.get(new Pool(machineType.name(), zoneName));
    return machineType.bootS() * (statistics == null ? NOMINAL_RATIO : statistics.expectedRatio);
  }

  private BootStatistics statistics(Machine machine) {
    MachineDescription description = machine.description();
    return statisticsByPool.computeIfAbsent(
        new Pool(description.typeName(), description.zoneName()), pool -> new BootStatistics());
  }

  /** The type of a machine; null while it is not known. */
  private MachineType machineType(Machine machine) {
    return machineTypes.typeOf(machine).orElse(null);
  }
}
