package org.ternhinge.round;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.Lock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.config.Tuning;
import org.ternhinge.failover.ZoneControl;
import org.ternhinge.ledger.Authority;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.metrics.InvariantChecks;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.schedule.Plan;
import org.ternhinge.schedule.Planner;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.term.ControllerServices;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.term.RoundTrigger;

/**
 * Runs scheduling rounds, one at a time: takes a snapshot under the lock, plans without the lock,
 * and executes the plan under the lock. Planning takes so long that it would block heartbeats and
 * the renewal of the leadership if the lock were held. State is guarded by the controller's lock.
 */
public final class SchedulingRounds implements RoundTrigger {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingRounds.class);

  /**
   * Ratio of the interval between the starts of two rounds to the duration of the last round, up to
   * the longest interval that the operators permit. It limits the share of processor time that
   * planning takes in large fleets.
   */
  private static final double INTERVAL_FACTOR = 15;

  /**
   * The least such ratio, however long rounds take: planning never takes more than a fifth of the
   * time, since heartbeats, requests and the renewal share the processor with it.
   */
  private static final double MIN_INTERVAL_FACTOR = 5;

  /** Minimum delay from a request to its round, so that simultaneous changes share a round. */
  private static final double MIN_DELAY_S = 0.01;

  /** Timers may run this much early in relation to the interval, by rounding. */
  private static final double DUE_TOLERANCE_S = 0.001;

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
  private MonotonicTime lastStart;
  private double lastDurationS;

  /** Creates the rounds of one leadership; none runs before {@link #enable}. */
  public SchedulingRounds(
      LeadershipContext context,
      MachineTypeCatalog machineTypes,
      SnapshotBuilder snapshots,
      PlanExecutor planExecutor,
      ZoneControl zones) {
    ControllerServices services = context.services();
    this.tuning = services.tuning();
    this.clock = services.clock();
    this.lock = services.lock();
    this.scheduler = services.scheduler();
    this.metrics = services.metrics();
    this.authority = context.authority();
    this.executor = context.executor();
    this.machineTypes = machineTypes;
    this.snapshots = snapshots;
    this.planExecutor = planExecutor;
    this.zones = zones;
    this.lastStart = clock.now();
  }

  /** Enables rounds once the ledger is loaded. Earlier requests have no effect. */
  public void enable() {
    enabled = true;
  }

  @Override
  public void requestRound() {
    if (requested || !enabled || executor.isStopped()) {
      return;
    }
    requested = true;
    double delayS = Math.max(MIN_DELAY_S, secondsUntilDue());
    clock.schedule(delayS, () -> scheduler.execute(this::runRound));
  }

  /** Seconds until the next round may start; not positive if it may start now. */
  private double secondsUntilDue() {
    double scaledIntervalS = Math.min(tuning.roundS(), lastDurationS * INTERVAL_FACTOR);
    double leastIntervalS = Math.max(tuning.roundGapS(), lastDurationS * MIN_INTERVAL_FACTOR);
    return Math.max(scaledIntervalS, leastIntervalS) - clock.now().secondsSince(lastStart);
  }

  private void runRound() {
    begin().ifPresent(snapshot -> finish(plan(snapshot)));
  }

  /** Takes the snapshot for a round; empty if no round may run now. */
  private Optional<Snapshot> begin() {
    lock.lock();
    try {
      requested = false;
      if (executor.isStopped() || running) {
        return Optional.empty();
      }
      if (secondsUntilDue() > DUE_TOLERANCE_S) {
        // The last round was still running when this one was requested, and took longer.
        requestRound();
        return Optional.empty();
      }
      checkPause();
      lastStart = clock.now();
      if (!authority.isValid() || machineTypes.isEmpty()) {
        return Optional.empty();
      }
      running = true;
      return Optional.of(snapshots.snapshot(lastStart));
    } finally {
      lock.unlock();
    }
  }

  /** Checks that the last round was followed by its pause. */
  private void checkPause() {
    double sinceStartS = clock.now().secondsSince(lastStart);
    if (sinceStartS < lastDurationS * MIN_INTERVAL_FACTOR - DUE_TOLERANCE_S) {
      metrics
          .invariants()
          .violated(
              InvariantChecks.line("round-pause")
                  .withSeconds("last_round_s", lastDurationS)
                  .withSeconds("since_its_start_s", sinceStartS));
    }
  }

  /** Plans a round; empty if the planner failed, in which case the next round tries again. */
  private Optional<Plan> plan(Snapshot snapshot) {
    try {
      return Optional.of(Planner.plan(zones.filter(snapshot)));
    } catch (RuntimeException e) {
      LOG.error("planning failed; this scheduling round is skipped", e);
      return Optional.empty();
    }
  }

  private void finish(Optional<Plan> plan) {
    lock.lock();
    try {
      running = false;
      if (!executor.isStopped() && plan.isPresent() && authority.isValid()) {
        planExecutor.execute(zones.limit(plan.get()));
      }
      lastDurationS = clock.now().secondsSince(lastStart);
      metrics.recordRound(lastDurationS, plan.map(Plan::evaluations).orElse(0L));
    } finally {
      lock.unlock();
    }
  }
}
