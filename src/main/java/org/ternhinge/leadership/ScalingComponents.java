package org.ternhinge.leadership;

import org.ternhinge.attempt.TermAnnouncer;
import org.ternhinge.scaling.ListedTermAnnouncer;
import org.ternhinge.scaling.MachineInventory;
import org.ternhinge.scaling.MachineReleaser;
import org.ternhinge.scaling.MachineRemoval;
import org.ternhinge.scaling.UnusableMachineCheck;
import org.ternhinge.term.LeadershipContext;

/** The components that list the cloud's machines and release unneeded and unusable ones. */
final class ScalingComponents {
  final MachineReleaser releaser;
  final MachineInventory inventory;
  final UnusableMachineCheck unusableMachines;

  ScalingComponents(LeadershipContext context, MachineComponents fleet, WorkerComponents workers) {
    MachineRemoval removal =
        new MachineRemoval(
            fleet.machines,
            context.ledger(),
            fleet.reportedTaskCounts,
            workers.attempts,
            context.services().workers());
    releaser = new MachineReleaser(context, fleet.machines, removal);
    inventory = createInventory(context, fleet, workers, removal, releaser);
    unusableMachines =
        new UnusableMachineCheck(
            context, fleet.machines, fleet.machineTypes, releaser, fleet.bootTimes);
  }

  private static MachineInventory createInventory(
      LeadershipContext context,
      MachineComponents fleet,
      WorkerComponents workers,
      MachineRemoval removal,
      MachineReleaser releaser) {
    TermAnnouncer announcer =
        new TermAnnouncer(
            context.authority(),
            workers.dispatcher,
            workers.statusUpdater,
            context.services().clock());
    return new MachineInventory(
        context,
        fleet.machines,
        fleet.provisioner,
        releaser,
        removal,
        new ListedTermAnnouncer(context, workers.dispatcher, announcer));
  }
}
