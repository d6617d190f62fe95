package org.ternhinge.leadership;

import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.term.LeadershipContext;

/**
 * The timers of a leadership: checks of leases, machines and zones, and scheduling rounds that no
 * event has requested. They end with the leadership. Guarded by the controller's lock.
 */
final class PeriodicChecks {
  /** Seconds between two checks of leases and reservations; short against a worker's lease. */
  private static final double LEASE_CHECK_S = 0.5;

  private final LeadershipContext context;
  private final Clock clock;
  private final MachineComponents fleet;
  private final WorkerComponents workers;
  private final ScalingComponents scaling;
  private final PlanningComponents planning;

  PeriodicChecks(
      LeadershipContext context,
      MachineComponents fleet,
      WorkerComponents workers,
      ScalingComponents scaling,
      PlanningComponents planning) {
    this.context = context;
    this.clock = context.services().clock();
    this.fleet = fleet;
    this.workers = workers;
    this.scaling = scaling;
    this.planning = planning;
  }

  /** Runs each check once, and then at its interval. */
  void start() {
    checkLeases();
    checkRound();
  }

  private void checkLeases() {
    if (context.authority().valid()) {
      MonotonicTime now = clock.now();
      workers.leaseMonitor.check(now);
      scaling.unusableMachines.check(now);
      fleet.zones.check(now);
    }
    context.executor().later(LEASE_CHECK_S, this::checkLeases);
  }

  /** Reservations and waiting times change without an event, so rounds also run by a timer. */
  private void checkRound() {
    planning.rounds.requestRound();
    planning.fleetLog.logIfDue();
    context.executor().later(context.services().tuning().roundS(), this::checkRound);
  }
}
