package org.ternhinge.leadership;

import org.ternhinge.round.ArrivalRates;
import org.ternhinge.round.FleetLog;
import org.ternhinge.round.FleetState;
import org.ternhinge.round.PlanExecutor;
import org.ternhinge.round.SchedulingRounds;
import org.ternhinge.round.SnapshotBuilder;
import org.ternhinge.term.LeadershipContext;

/** The components that decide which tasks to start on which machines. */
final class PlanningComponents {
  final ArrivalRates arrivalRates;
  final SchedulingRounds rounds;
  final FleetLog fleetLog;

  PlanningComponents(
      LeadershipContext context,
      MachineComponents fleet,
      WorkerComponents workers,
      ScalingComponents scaling) {
    arrivalRates = new ArrivalRates(context.services().settings().objectives());
    FleetState fleetState =
        new FleetState(
            fleet.machines,
            fleet.machineTypes,
            fleet.failures,
            fleet.bootTimes,
            fleet.reportedTaskCounts);
    SnapshotBuilder snapshots =
        new SnapshotBuilder(context, fleetState, arrivalRates, fleet.scaleOutOptions);
    PlanExecutor planExecutor =
        new PlanExecutor(
            context, fleetState, snapshots, workers.attempts, fleet.provisioner, scaling.releaser);
    rounds =
        new SchedulingRounds(context, fleet.machineTypes, snapshots, planExecutor, fleet.zones);
    fleetLog =
        new FleetLog(context.services().clock(), context.ledger(), fleet.machines, snapshots);
  }
}
