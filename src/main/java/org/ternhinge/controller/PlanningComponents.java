package org.ternhinge.controller;

/** Builds the parts of a leadership that decide what starts where. */
final class PlanningComponents {
  final ArrivalRates arrivalRates;
  final SchedulingRounds rounds;
  final FleetLog fleetLog;

  PlanningComponents(LeadershipContext context, FleetComponents fleet) {
    this.arrivalRates = new ArrivalRates(context.services().settings().objectives());
    SnapshotBuilder snapshots =
        new SnapshotBuilder(
            context.services(),
            context.authority(),
            context.ledger(),
            context.machineTypes().byName(),
            fleet.failures,
            context.machines(),
            arrivalRates,
            fleet.provisioner,
            fleet.bootTimes,
            context.electedAt());
    this.rounds =
        new SchedulingRounds(
            context.services(),
            context.authority(),
            context.executor(),
            context.machineTypes(),
            snapshots,
            planExecutor(context, fleet, snapshots),
            fleet.zones);
    this.fleetLog =
        new FleetLog(context.services().clock(), context.ledger(), context.machines(), snapshots);
  }

  private static PlanExecutor planExecutor(
      LeadershipContext context, FleetComponents fleet, SnapshotBuilder snapshots) {
    return new PlanExecutor(
        context.services().clock(),
        context.ledger(),
        context.writer(),
        context.machines(),
        context.machineTypes(),
        snapshots,
        fleet.reportedTaskCounts,
        fleet.attempts,
        fleet.provisioner,
        fleet.releaser);
  }
}
