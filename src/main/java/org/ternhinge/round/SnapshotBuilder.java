package org.ternhinge.round;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.BootTimes;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.machine.TaskFailures;
import org.ternhinge.model.Resources;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.scaling.ScaleOutOptions;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.term.ControllerServices;

/**
 * What the planner is shown. A machine's view is kept until something on the machine changes, so
 * that a round costs by what has changed since the last one and not by the size of the fleet.
 */
public final class SnapshotBuilder {
  private final Settings settings;
  private final Tuning tuning;
  private final Ledger ledger;
  private final MachineRegistry machines;
  private final ArrivalRates arrivalRates;
  private final ScaleOutOptions scaleOutOptions;
  private final SteadyTime electedAt;
  private final MachineViews machineViews;
  private final JobViews jobViews;

  public SnapshotBuilder(
      ControllerServices services,
      Authority authority,
      Ledger ledger,
      MachineTypeCatalog machineTypes,
      TaskFailures failures,
      MachineRegistry machines,
      ArrivalRates arrivalRates,
      ScaleOutOptions scaleOutOptions,
      BootTimes bootTimes,
      SteadyTime electedAt) {
    this.settings = services.settings();
    this.tuning = services.tuning();
    this.ledger = ledger;
    this.machines = machines;
    this.arrivalRates = arrivalRates;
    this.scaleOutOptions = scaleOutOptions;
    this.electedAt = electedAt;
    this.machineViews =
        new MachineViews(settings, authority, ledger, machineTypes, machines, bootTimes);
    this.jobViews = new JobViews(settings, services.clock(), ledger, failures);
  }

  /** Whether tasks may be placed on a machine now. */
  boolean placeable(Machine machine, SteadyTime now) {
    return machineViews.placeable(machine, now);
  }

  /** What the planner is shown as of now. */
  Snapshot snapshot(SteadyTime now) {
    List<Snapshot.MachineView> views = machineViews.list(now);
    return new Snapshot(
        views,
        jobViews.list(now, MachineViews.reservedTasks(views)),
        arrivalRates.expectedJobs(now, settings.zones().size()),
        settings.teams(),
        teamUse(),
        scaleOutOptions.offers(now),
        scaleOutOptions.pendingProvisions(),
        jobViews.startedLate(now),
        settled(now),
        tuning.idleS(),
        now);
  }

  private Map<String, Resources> teamUse() {
    Map<String, Resources> use = new HashMap<>();
    settings.teams().keySet().forEach(team -> use.put(team, ledger.teamUse(team)));
    return use;
  }

  /**
   * Whether what is ready is all that there is: every machine that is up has reported, or has had
   * time to. Before, work would be sent to places of last resort beside others not yet in sight.
   */
  private boolean settled(SteadyTime now) {
    if (now.secondsSince(electedAt) > 2 * settings.workers().heartbeatIntervalS()) {
      return true;
    }
    boolean listed = false;
    for (Machine machine : machines.all()) {
      listed |= machine.cloud().isListed();
      if (!machine.agent().isHeard()
          && (machine.cloud().isListedRunning() || !ledger.attemptsOn(machine.id()).isEmpty())) {
        return false;
      }
    }
    return listed;
  }
}
