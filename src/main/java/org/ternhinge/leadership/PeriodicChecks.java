package org.ternhinge.leadership;

import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.term.LeadershipContext;

/**
 * Runs the timers of a leadership: checks of leases, machines and zones, and periodic scheduling
 * rounds. The timers end with the leadership. Guarded by the controller's lock.
 */
final class PeriodicChecks {
  /** Interval in seconds between lease and reservation checks; short relative to a worker lease. */
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

  /** Runs each check now and then at its interval. */
  void start() {
    checkLeases();
    checkRound();
  }

  private void checkLeases() {
    if (context.authority().isValid()) {
      MonotonicTime now = clock.now();
      workers.leaseMonitor.check(now);
      scaling.unusableMachines.check(now);
      fleet.zones.check(now);
    }
    context.executor().schedule(LEASE_CHECK_S, this::checkLeases);
  }

  /** Requests a periodic round, since reservations and waiting times change without events. */
  private void checkRound() {
    planning.rounds.requestRound();
    planning.fleetLog.logIfDue();
    context.executor().schedule(context.services().tuning().roundS(), this::checkRound);
  }
}
