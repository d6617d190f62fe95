package org.ternhinge.round;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Resources;
import org.ternhinge.scaling.ScaleOutOptions;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.term.LeadershipContext;

/**
 * Takes snapshots of jobs and machines for the planner. Machines cache their views until their
 * state changes, so the cost of a snapshot depends on the changes since the last round and not on
 * the size of the fleet. Guarded by the controller's lock.
 */
public final class SnapshotBuilder {
  /** Heartbeat intervals within which every live machine reports to a new leader. */
  private static final double FIRST_REPORT_INTERVALS = 2;

  private final Settings settings;
  private final Tuning tuning;
  private final Ledger ledger;
  private final FleetState fleet;
  private final ArrivalRates arrivalRates;
  private final ScaleOutOptions scaleOutOptions;
  private final MonotonicTime electedAt;
  private final MachineViews machineViews;
  private final JobViews jobViews;

  /** Creates the snapshot builder of one leadership. */
  public SnapshotBuilder(
      LeadershipContext context,
      FleetState fleet,
      ArrivalRates arrivalRates,
      ScaleOutOptions scaleOutOptions) {
    this.settings = context.services().settings();
    this.tuning = context.services().tuning();
    this.ledger = context.ledger();
    this.fleet = fleet;
    this.arrivalRates = arrivalRates;
    this.scaleOutOptions = scaleOutOptions;
    this.electedAt = context.electedAt();
    this.machineViews = new MachineViews(context, fleet);
    this.jobViews = new JobViews(context, fleet.failures());
  }

  /** Whether tasks may be placed on a machine now. */
  boolean isPlaceable(Machine machine, MonotonicTime now) {
    return machineViews.isPlaceable(machine, now);
  }

  Snapshot snapshot(MonotonicTime now) {
    List<Snapshot.MachineView> machines = machineViews.list(now);
    return new Snapshot(
        machines,
        jobViews.list(now, MachineViews.reservedTasks(machines)),
        arrivalRates.expectedJobs(now, settings.zones().size()),
        settings.teams(),
        teamUse(),
        scaleOutOptions.offers(now),
        scaleOutOptions.pendingProvisions(),
        jobViews.lateStartedJobs(now),
        isInventoryComplete(now),
        tuning.idleS(),
        now);
  }

  private Map<String, Resources> teamUse() {
    Map<String, Resources> use = new HashMap<>();
    settings.teams().keySet().forEach(team -> use.put(team, ledger.teamUsage(team)));
    return use;
  }

  /**
   * Whether every live machine has reported to this leader or has had enough time to report. Before
   * that, tasks could be placed in accelerator slots although better machines are about to report.
   */
  private boolean isInventoryComplete(MonotonicTime now) {
    double firstReportsS = FIRST_REPORT_INTERVALS * settings.workers().heartbeatIntervalS();
    if (now.secondsSince(electedAt) > firstReportsS) {
      return true;
    }
    boolean anyListed = false;
    for (Machine machine : fleet.machines().all()) {
      anyListed |= machine.cloud().isListed();
      if (!machine.agent().hasReported()
          && (machine.cloud().isListedRunning() || !ledger.attemptsOn(machine.id()).isEmpty())) {
        return false;
      }
    }
    return anyListed;
  }
}
