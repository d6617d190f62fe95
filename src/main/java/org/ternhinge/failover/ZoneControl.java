package org.ternhinge.failover;

import org.ternhinge.attempt.AttemptListener;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.TaskFailures;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.schedule.Plan;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.term.LeadershipContext;

/**
 * Zone failover of one leadership: the reaction to the loss and recovery of whole zones. {@link
 * #NONE} does nothing, and no class of {@code org.ternhinge.zone} is loaded when it is used.
 */
public interface ZoneControl extends AttemptListener {
  /** The null object for sites on which zone failover is not configured. */
  ZoneControl NONE =
      new ZoneControl() {
        @Override
        public void recover() {}

        @Override
        public void check(MonotonicTime now) {}

        @Override
        public void attemptClosed(Attempt attempt, boolean done) {}

        @Override
        public Snapshot filter(Snapshot full) {
          return full;
        }

        @Override
        public Plan limit(Plan plan) {
          return plan;
        }
      };

  /** Creates the configured zone failover, or returns {@link #NONE}. */
  static ZoneControl of(
      LeadershipContext context, MachineRegistry machines, TaskFailures failures) {
    return context
        .services()
        .tuning()
        .zoneFailover()
        .<ZoneControl>map(settings -> new ZoneCoordinator(context, machines, failures, settings))
        .orElse(NONE);
  }

  /** Restores the zone states of an earlier leader; called once the ledger has been recovered. */
  void recover();

  /**
   * Checks all zones; called periodically under the controller's lock while the leadership is
   * certain.
   */
  void check(MonotonicTime now);

  /** Returns the part of a snapshot to plan with; called without the controller's lock. */
  Snapshot filter(Snapshot full);

  /** Returns the part of a plan that may be executed now; called under the controller's lock. */
  Plan limit(Plan plan);
}
