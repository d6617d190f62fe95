package org.ternhinge.round;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.config.Settings;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.BootTimes;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.wire.MachineType;

/**
 * The machines that the planner may count on. A machine's view is kept until something on the
 * machine changes. Guarded by the controller's lock.
 */
final class MachineViews {
  /** A machine without a heartbeat for so long is not counted on. */
  private static final double SILENT_S = 15;

  private final Settings settings;
  private final Authority authority;
  private final Ledger ledger;
  private final MachineTypeCatalog machineTypes;
  private final MachineRegistry machines;
  private final BootTimes bootTimes;

  MachineViews(
      Settings settings,
      Authority authority,
      Ledger ledger,
      MachineTypeCatalog machineTypes,
      MachineRegistry machines,
      BootTimes bootTimes) {
    this.settings = settings;
    this.authority = authority;
    this.ledger = ledger;
    this.machineTypes = machineTypes;
    this.machines = machines;
    this.bootTimes = bootTimes;
  }

  /** Whether tasks may be placed on a machine now. */
  boolean placeable(Machine machine, SteadyTime now) {
    return mayEverTakeTasks(machine, now) && isReady(machine, now);
  }

  private boolean isReady(Machine machine, SteadyTime now) {
    return machine.agent().isHeard()
        && machine.agent().hasEndpoint()
        && machine.agent().isEpochOpen()
        && machine.health().acceptsTasks(now)
        && machine.agent().fencingToken().equals(authority.term())
        && !machine.agent().isOverdue(settings.workers(), now);
  }

  /**
   * Whether a machine counts at all, if not now then soon. One that commands don't reach does not
   * even count as one that is coming, or nothing would be provisioned in its place.
   */
  private boolean mayEverTakeTasks(Machine machine, SteadyTime now) {
    return machine.cloud().isStaying()
        && machine.description().zone() >= 0
        && machineTypes.typeOf(machine).isPresent()
        && !machine.health().isQuarantined(now)
        && !machine.health().reachability().unreachable();
  }

  /** The views of all machines that count, those that are coming included. */
  List<Snapshot.MachineView> list(SteadyTime now) {
    List<Snapshot.MachineView> views = new ArrayList<>(machines.all().size());
    Set<MachineId> late = bootTimes.late(now);
    for (Machine machine : machines.all()) {
      if (!mayEverTakeTasks(machine, now)) {
        continue;
      }
      boolean ready = isReady(machine, now);
      if (ready || isExpected(machine, late, now)) {
        views.add(keptView(machine, ready));
      }
    }
    return views;
  }

  /** Whether a machine that is not ready is likely to be so before long. */
  private static boolean isExpected(Machine machine, Set<MachineId> late, SteadyTime now) {
    return machine.agent().isHeard()
        ? machine.agent().silentForS(now) <= SILENT_S
        : !late.contains(machine.id());
  }

  /** For how many tasks of each job room is kept, on the machines of these views. */
  static Map<JobId, Integer> reservedTasks(List<Snapshot.MachineView> views) {
    Map<JobId, Integer> reserved = new HashMap<>();
    for (Snapshot.MachineView view : views) {
      for (Snapshot.Reservation reservation : view.reservations()) {
        reserved.merge(reservation.job(), 1, Integer::sum);
      }
    }
    return reserved;
  }

  private Snapshot.MachineView keptView(Machine machine, boolean ready) {
    return machine.view(ready, () -> view(machine, ready));
  }

  private Snapshot.MachineView view(Machine machine, boolean ready) {
    MachineType machineType = machineTypes.typeOf(machine).orElseThrow();
    return new Snapshot.MachineView(
        machine.id(),
        machineType,
        machine.description().zone(),
        machine.description().zoneName(),
        machine.description().spot(),
        machineType.capacity().minus(ledger.machineUse(machine.id())),
        ready,
        machine.images(),
        machine.idleSince(),
        machine.cloud().provisionedAt(),
        attempts(machine),
        reservations(machine));
  }

  private List<Snapshot.AttemptView> attempts(Machine machine) {
    List<Snapshot.AttemptView> attempts = new ArrayList<>();
    for (Attempt attempt : ledger.attemptsOn(machine.id())) {
      attempts.add(
          new Snapshot.AttemptView(
              attempt.job().planned(),
              attempt.task().index(),
              attempt.stopping(),
              attempt.runningSince()));
    }
    return attempts;
  }

  private static List<Snapshot.Reservation> reservations(Machine machine) {
    List<Snapshot.Reservation> reservations = new ArrayList<>();
    for (Machine.Reservation kept : machine.reservations()) {
      reservations.add(new Snapshot.Reservation(kept.job(), kept.room()));
    }
    return reservations;
  }
}
