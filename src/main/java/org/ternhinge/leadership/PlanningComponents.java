package org.ternhinge.leadership;

import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.round.ArrivalRates;
import org.ternhinge.round.FleetLog;
import org.ternhinge.round.PlanExecutor;
import org.ternhinge.round.SchedulingRounds;
import org.ternhinge.round.SnapshotBuilder;
import org.ternhinge.term.LeadershipContext;

/** Builds the parts of a leadership that decide what starts where. */
final class PlanningComponents {
  final ArrivalRates arrivalRates;
  final SchedulingRounds rounds;
  final FleetLog fleetLog;

  PlanningComponents(
      LeadershipContext context,
      MachineRegistry machines,
      MachineTypeCatalog machineTypes,
      FleetComponents fleet) {
    this.arrivalRates = new ArrivalRates(context.services().settings().objectives());
    SnapshotBuilder snapshots =
        new SnapshotBuilder(
            context.services(),
            context.authority(),
            context.ledger(),
            machineTypes,
            fleet.failures,
            machines,
            arrivalRates,
            fleet.scaleOutOptions,
            fleet.bootTimes,
            context.electedAt());
    this.rounds =
        new SchedulingRounds(
            context.services(),
            context.authority(),
            context.executor(),
            machineTypes,
            snapshots,
            planExecutor(context, machines, machineTypes, fleet, snapshots),
            fleet.zones);
    this.fleetLog = new FleetLog(context.services().clock(), context.ledger(), machines, snapshots);
  }

  private static PlanExecutor planExecutor(
      LeadershipContext context,
      MachineRegistry machines,
      MachineTypeCatalog machineTypes,
      FleetComponents fleet,
      SnapshotBuilder snapshots) {
    return new PlanExecutor(
        context.services().clock(),
        context.ledger(),
        context.writer(),
        machines,
        machineTypes,
        snapshots,
        fleet.reportedTaskCounts,
        fleet.attempts,
        fleet.provisioner,
        fleet.releaser);
  }
}
