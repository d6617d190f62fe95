package org.ternhinge.leadership;

import org.ternhinge.round.ArrivalRates;
import org.ternhinge.round.FleetLog;
import org.ternhinge.round.PlanExecutor;
import org.ternhinge.round.SchedulingRounds;
import org.ternhinge.round.SnapshotBuilder;
import org.ternhinge.term.LeadershipContext;

/** The components that decide which task starts on which machine. */
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
    SnapshotBuilder snapshots =
        new SnapshotBuilder(
            context.services(),
            context.authority(),
            context.ledger(),
            fleet.machineTypes,
            fleet.failures,
            fleet.machines,
            arrivalRates,
            fleet.scaleOutOptions,
            fleet.bootTimes,
            context.electedAt());
    PlanExecutor planExecutor =
        new PlanExecutor(
            context.services().clock(),
            context.ledger(),
            context.writer(),
            fleet.machines,
            fleet.machineTypes,
            snapshots,
            fleet.reportedTaskCounts,
            workers.attempts,
            fleet.provisioner,
            scaling.releaser);
    rounds =
        new SchedulingRounds(
            context.services(),
            context.authority(),
            context.executor(),
            fleet.machineTypes,
            snapshots,
            planExecutor,
            fleet.zones);
    fleetLog =
        new FleetLog(context.services().clock(), context.ledger(), fleet.machines, snapshots);
  }
}
