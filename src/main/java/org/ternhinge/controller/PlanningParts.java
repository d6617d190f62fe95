package org.ternhinge.controller;

/** Builds the parts of a leadership that decide what starts where. */
final class PlanningParts {
  final ArrivalRates arrivalRates;
  final SchedulingRounds rounds;
  final FleetLog fleetLog;

  PlanningParts(LeadershipContext context, FleetParts fleet) {
    this.arrivalRates = new ArrivalRates(context.services().settings().objectives());
    SnapshotCache snapshots =
        new SnapshotCache(
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
      LeadershipContext context, FleetParts fleet, SnapshotCache snapshots) {
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
