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
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.MachineType;

/**
 * How long machines take to come up, as lately seen, and which of those that were provisioned are
 * late by that. Guarded by the controller's lock.
 *
 * <p>Times are kept by machine type and zone, as multiples of the type's usual time. A machine that
 * is not up yet counts with the time that it has taken so far. So where a few are late beside many
 * that came up, they stand out and their room is no longer counted on; where most of them are, the
 * type is slow in that zone as such, and provisioning all of them once more would only pay twice.
 */
public final class BootTimes {
  /** Machines come up within so many times the usual time, as a rule. */
  private static final double USUAL_SPREAD = 1.5;

  /** Until a machine that is up has reported. */
  private static final double HEARTBEAT_MARGIN_S = 3;

  /** Seconds for which it is remembered how long a machine took. */
  private static final double REMEMBERED_S = 300;

  /** Stands for a machine that came up in the usual time, so that single ones can be late. */
  private static final double ASSUMED_RATIO = 1;

  /**
   * The part of the machines that have to come up in time for the others to count as late: so many
   * and more are there where some never come up, hardly any where all of them are slow.
   */
  private static final double PART_IN_TIME = 0.25;

  /** Where most machines are slow, the part of the late ones that is replaced all the same. */
  private static final double REPLACED_WHERE_SLOW = 0.25;

  /** A machine may take so many times the usual time to come up, and at least so much more. */
  private static final double GIVE_UP_FACTOR = 3;

  private static final double GIVE_UP_MARGIN_S = 45;

  /** The same where most machines of the type are slow in the zone. */
  private static final double GIVE_UP_FACTOR_WHERE_SLOW = 8;

  /** A machine that came up, with the multiple of the usual time that it took. */
  private record CameUp(SteadyTime provisionedAt, SteadyTime at, double ratio) {}

  /** What is seen of one type in one zone. */
  private static final class BootStatistics {
    /** Machines that came up, the last one last. */
    private final Deque<CameUp> cameUp = new ArrayDeque<>();

    private List<Machine> overdue = new ArrayList<>();

    /** The multiple of the usual time that a part of the machines is up in. */
    private double usualRatio = ASSUMED_RATIO;

    void forgetBefore(SteadyTime time) {
      while (!cameUp.isEmpty() && cameUp.peekFirst().at().isBefore(time)) {
        cameUp.removeFirst();
      }
    }
  }

  private final MachineRegistry machines;
  private final Map<String, MachineType> machineTypes;
  private final SteadyTime electedAt;
  private final Map<String, BootStatistics> statisticsByPlace = new HashMap<>();

  /**
   * Creates a part that has seen no machine come up.
   *
   * @param machineTypes the machine types by name, as a live view
   */
  public BootTimes(
      MachineRegistry machines, Map<String, MachineType> machineTypes, SteadyTime electedAt) {
    this.machines = machines;
    this.machineTypes = machineTypes;
    this.electedAt = electedAt;
  }

  /** A machine has reported for the first time in this leadership. */
  public void cameUp(Machine machine, SteadyTime now) {
    MachineType machineType = machineType(machine);
    if (machineType == null || machine.cloud().provisionedAt().isBefore(electedAt)) {
      // When it came up is not known here.
      return;
    }
    double ratio = now.secondsSince(machine.cloud().provisionedAt()) / machineType.bootS();
    seen(machine).cameUp.addLast(new CameUp(machine.cloud().provisionedAt(), now, ratio));
  }

  /** The machines that are not up although they should be; their room is not to be counted on. */
  public Set<MachineId> late(SteadyTime now) {
    collectOverdue(now);
    Set<MachineId> late = new HashSet<>();
    for (BootStatistics seen : statisticsByPlace.values()) {
      seen.usualRatio = usualRatio(seen, now);
      addLate(seen, now, late);
    }
    return late;
  }

  private void collectOverdue(SteadyTime now) {
    for (BootStatistics seen : statisticsByPlace.values()) {
      seen.overdue = new ArrayList<>();
      seen.forgetBefore(now.plusSeconds(-REMEMBERED_S));
    }
    for (Machine machine : machines.all()) {
      MachineType machineType = machineType(machine);
      if (machineType != null
          && isBooting(machine)
          && takes(machine, machineType, now) > USUAL_SPREAD) {
        seen(machine).overdue.add(machine);
      }
    }
  }

  private static boolean isBooting(Machine machine) {
    return !machine.agent().isHeard()
        && !machine.cloud().isTerminated()
        && !machine.cloud().isReleasing()
        && !machine.cloud().isListedRunning();
  }

  private void addLate(BootStatistics seen, SteadyTime now, Set<MachineId> late) {
    List<Machine> overdue = new ArrayList<>();
    for (Machine machine : seen.overdue) {
      if (takes(machine, machineType(machine), now) > USUAL_SPREAD * seen.usualRatio) {
        late.add(machine.id());
      } else {
        overdue.add(machine);
      }
    }
    overdue.sort(Comparator.comparing((Machine machine) -> machine.cloud().provisionedAt()));
    int replaced = (int) Math.ceil(overdue.size() * REPLACED_WHERE_SLOW);
    overdue.subList(0, replaced).forEach(machine -> late.add(machine.id()));
  }

  /**
   * The multiple of the usual time that a part of the machines is up in, those that are overdue
   * counted as they stand, and at least one. Machines that were provisioned long before the ones
   * that are overdue say nothing of these.
   */
  private double usualRatio(BootStatistics seen, SteadyTime now) {
    List<Double> ratios = new ArrayList<>();
    ratios.add(ASSUMED_RATIO);
    SteadyTime comparedSince = null;
    for (Machine machine : seen.overdue) {
      ratios.add(takes(machine, machineType(machine), now));
      SteadyTime since = machine.cloud().provisionedAt().plusSeconds(-machineType(machine).bootS());
      comparedSince =
          comparedSince == null || since.isBefore(comparedSince) ? since : comparedSince;
    }
    for (CameUp cameUp : seen.cameUp) {
      if (comparedSince == null || !cameUp.provisionedAt().isBefore(comparedSince)) {
        ratios.add(cameUp.ratio());
      }
    }
    Collections.sort(ratios);
    double ratio = ratios.get((int) ((ratios.size() - 1) * PART_IN_TIME));
    return Math.max(ASSUMED_RATIO, ratio);
  }

  /** How many times the usual time a machine has taken so far. */
  private static double takes(Machine machine, MachineType machineType, SteadyTime now) {
    return (now.secondsSince(machine.cloud().provisionedAt()) - HEARTBEAT_MARGIN_S)
        / machineType.bootS();
  }

  /** Whether a machine that has not come up is to be returned as one that never will. */
  public boolean isGivenUp(Machine machine, SteadyTime now) {
    MachineType machineType = machineType(machine);
    if (machineType == null || !isBooting(machine)) {
      return false;
    }
    double allowedS =
        seen(machine).usualRatio > USUAL_SPREAD
            ? GIVE_UP_FACTOR_WHERE_SLOW * machineType.bootS()
            : GIVE_UP_FACTOR * machineType.bootS();
    return now.secondsSince(machine.cloud().provisionedAt())
        > Math.max(allowedS, machineType.bootS() + GIVE_UP_MARGIN_S);
  }

  /** Seconds that a machine of a type takes to come up in a zone, as lately seen. */
  public double expectedS(MachineType machineType, String zone) {
    BootStatistics seen = statisticsByPlace.get(place(machineType.name(), zone));
    return machineType.bootS() * (seen == null ? 1 : seen.usualRatio);
  }

  private BootStatistics seen(Machine machine) {
    return statisticsByPlace.computeIfAbsent(
        place(machine.description().typeName(), machine.description().zoneName()),
        key -> new BootStatistics());
  }

  private static String place(String type, String zone) {
    return type + " " + zone;
  }

  private MachineType machineType(Machine machine) {
    return machineTypes.get(machine.description().typeName());
  }
}
