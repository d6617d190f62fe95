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
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.MachineType;

/**
 * Builds the planner's views of the machines that are ready or expected to become ready. Each
 * machine caches its view until its state changes. Guarded by the controller's lock.
 */
final class MachineViews {
  /** Seconds without a heartbeat after which a machine is no longer expected to become ready. */
  private static final double MAX_SILENCE_S = 15;

  private final Settings settings;
  private final Authority authority;
  private final Ledger ledger;
  private final MachineTypeCatalog machineTypes;
  private final MachineRegistry machines;
  private final BootTimes bootTimes;

  MachineViews(LeadershipContext context, FleetState fleet) {
    this.settings = context.services().settings();
    this.authority = context.authority();
    this.ledger = context.ledger();
    this.machineTypes = fleet.machineTypes();
    this.machines = fleet.machines();
    this.bootTimes = fleet.bootTimes();
  }

  /** Whether tasks may be placed on a machine now. */
  boolean isPlaceable(Machine machine, MonotonicTime now) {
    return isUsable(machine, now) && isReady(machine, now);
  }

  private boolean isReady(Machine machine, MonotonicTime now) {
    return machine.agent().hasReported()
        && machine.agent().hasEndpoint()
        && machine.agent().isEpochOpen()
        && machine.health().acceptsTasks(now)
        && machine.agent().fencingToken().compareTo(authority.term()) >= 0
        && !machine.agent().isOverdue(settings.workers(), now);
  }

  /**
   * Whether a machine can take tasks now or later. A machine that commands do not reach is not
   * usable; otherwise no replacement would be provisioned.
   */
  private boolean isUsable(Machine machine, MonotonicTime now) {
    return machine.cloud().isRetained()
        && machine.description().zone() >= 0
        && machineTypes.typeOf(machine).isPresent()
        && !machine.health().isQuarantined(now)
        && !machine.health().reachability().isUnreachable();
  }

  /** The views of all machines that are ready or expected to become ready. */
  List<Snapshot.MachineView> list(MonotonicTime now) {
    List<Snapshot.MachineView> views = new ArrayList<>(machines.all().size());
    Set<MachineId> lateToBoot = bootTimes.lateMachines(now);
    for (Machine machine : machines.all()) {
      if (!isUsable(machine, now)) {
        continue;
      }
      boolean ready = isReady(machine, now);
      if (ready || isExpected(machine, lateToBoot, now)) {
        views.add(cachedView(machine, ready));
      }
    }
    return views;
  }

  /** Whether a machine that is not ready is expected to become ready soon. */
  private static boolean isExpected(Machine machine, Set<MachineId> lateToBoot, MonotonicTime now) {
    return machine.agent().hasReported()
        ? machine.agent().silenceS(now) <= MAX_SILENCE_S
        : !lateToBoot.contains(machine.id());
  }

  /** The number of tasks of each job for which room is reserved on these machines. */
  static Map<JobId, Integer> reservedTasks(List<Snapshot.MachineView> views) {
    Map<JobId, Integer> reserved = new HashMap<>();
    for (Snapshot.MachineView view : views) {
      for (Snapshot.Reservation reservation : view.reservations()) {
        reserved.merge(reservation.job(), 1, Integer::sum);
      }
    }
    return reserved;
  }

  private Snapshot.MachineView cachedView(Machine machine, boolean ready) {
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
        machineType.capacity().minus(ledger.machineUsage(machine.id())),
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
              attempt.job().plannedSpec(),
              attempt.task().index(),
              attempt.isStopRequested(),
              attempt.runningSince()));
    }
    return attempts;
  }

  private static List<Snapshot.Reservation> reservations(Machine machine) {
    List<Snapshot.Reservation> reservations = new ArrayList<>();
    for (Machine.Reservation reservation : machine.reservations()) {
      reservations.add(new Snapshot.Reservation(reservation.job(), reservation.resources()));
    }
    return reservations;
  }
}
