package org.ternhinge.round;

import java.util.concurrent.Executor;
import java.util.concurrent.locks.Lock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.config.Tuning;
import org.ternhinge.failover.ZoneControl;
import org.ternhinge.ledger.Authority;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.Clock;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.schedule.Plan;
import org.ternhinge.schedule.Planner;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.term.ControllerServices;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.term.RoundTrigger;

/**
 * Runs scheduling rounds, one at a time: takes a snapshot under the lock, plans on it without the
 * lock, and carries the plan out under the lock. Planning takes too long to hold up heartbeats and
 * the renewal of the leadership. State is guarded by the controller's lock.
 */
public final class SchedulingRounds implements RoundTrigger {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingRounds.class);

  /**
   * A round is followed by a pause so many times as long: heartbeats and the renewal of the
   * leadership come first. Planning then takes about one part in so many of the time, however large
   * the fleet.
   */
  private static final double PAUSE_FACTOR = 15;

  /** Seconds from a request to its round at least, so that changes made together share a round. */
  private static final double MIN_WAIT_S = 0.01;

  private final Tuning tuning;
  private final Clock clock;
  private final Lock lock;
  private final Executor scheduler;
  private final Metrics metrics;
  private final Authority authority;
  private final LeadershipExecutor executor;
  private final MachineTypeCatalog machineTypes;
  private final SnapshotBuilder snapshots;
  private final PlanExecutor planExecutor;
  private final ZoneControl zones;

  private boolean enabled;
  private boolean requested;
  private boolean running;
  private SteadyTime lastStart;
  private double lastTookS;

  public SchedulingRounds(
      ControllerServices services,
      Authority authority,
      LeadershipExecutor executor,
      MachineTypeCatalog machineTypes,
      SnapshotBuilder snapshots,
      PlanExecutor planExecutor,
      ZoneControl zones) {
    this.tuning = services.tuning();
    this.clock = services.clock();
    this.lock = services.lock();
    this.scheduler = services.scheduler();
    this.metrics = services.metrics();
    this.authority = authority;
    this.executor = executor;
    this.machineTypes = machineTypes;
    this.snapshots = snapshots;
    this.planExecutor = planExecutor;
    this.zones = zones;
    this.lastStart = clock.now();
  }

  /** The ledger is there; requests made before had no effect. */
  public void enable() {
    enabled = true;
  }

  @Override
  public void requestRound() {
    if (requested || !enabled || executor.stopped()) {
      return;
    }
    requested = true;
    double pauseS = Math.min(tuning.roundS(), lastTookS * PAUSE_FACTOR);
    double gapS = Math.max(tuning.roundGapS(), pauseS);
    double waitS = Math.max(MIN_WAIT_S, gapS - clock.now().secondsSince(lastStart));
    clock.after(waitS, () -> scheduler.execute(this::round));
  }

  private void round() {
    Snapshot snapshot = begin();
    if (snapshot != null) {
      finish(plan(snapshot));
    }
  }

  /** What to plan on, or null where no round may run now. */
  private Snapshot begin() {
    lock.lock();
    try {
      requested = false;
      if (executor.stopped() || running) {
        return null;
      }
      lastStart = clock.now();
      if (!authority.valid() || machineTypes.isEmpty()) {
        return null;
      }
      running = true;
      return snapshots.snapshot(lastStart);
    } finally {
      lock.unlock();
    }
  }

  /** A plan, or null where the planner failed: the next round may fare better. */
  private Plan plan(Snapshot snapshot) {
    try {
      return Planner.plan(zones.filter(snapshot));
    } catch (RuntimeException e) {
      LOG.error("the planner failed", e);
      return null;
    }
  }

  private void finish(Plan plan) {
    lock.lock();
    try {
      running = false;
      if (!executor.stopped() && plan != null && authority.valid()) {
        planExecutor.execute(zones.limit(plan));
      }
      lastTookS = clock.now().secondsSince(lastStart);
      metrics.round(lastTookS, plan == null ? 0 : plan.evaluations());
    } finally {
      lock.unlock();
    }
  }
}
