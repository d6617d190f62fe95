package org.ternhinge.failover;

import org.ternhinge.attempt.AttemptListener;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.TaskFailures;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.schedule.Plan;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.term.LeadershipContext;

/**
 * What a leadership does about the loss and return of zones. {@link #NONE} changes nothing, and no
 * class of {@code org.ternhinge.zone} is loaded beside it.
 */
public interface ZoneControl extends AttemptListener {
  /** Zones are not looked at. */
  ZoneControl NONE =
      new ZoneControl() {
        @Override
        public void recover() {}

        @Override
        public void check(SteadyTime now) {}

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

  /** The control that the operators' settings ask for. */
  static ZoneControl of(
      LeadershipContext context, MachineRegistry machines, TaskFailures failures) {
    return context
        .services()
        .tuning()
        .zoneFailover()
        .<ZoneControl>map(settings -> new ZoneCoordinator(context, machines, failures, settings))
        .orElse(NONE);
  }

  /** The ledger is there; takes over what an earlier leader knew of the zones. */
  void recover();

  /** Looks at all zones; called every so often while the leadership certainly holds. */
  void check(SteadyTime now);

  /** What the planner is to see; called without the controller's lock. */
  Snapshot filter(Snapshot full);

  /** What may be carried out of a plan; called under the lock. */
  Plan limit(Plan plan);
}
