package org.ternhinge.leadership;

import java.util.Collection;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.election.Election;
import org.ternhinge.failover.ZoneControl;
import org.ternhinge.machine.BootTimes;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.machine.ReportedTaskCounts;
import org.ternhinge.machine.TaskFailures;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.scaling.MachineProvisioner;
import org.ternhinge.scaling.ScaleOutOptions;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.MachineType;

/**
 * What a leadership knows of machines: those that exist, those that are being provisioned, their
 * types, the health of machines and zones. Depends on no other group of components.
 */
final class MachineComponents {
  final MachineRegistry machines;
  final MachineTypeCatalog machineTypes;
  final ReportedTaskCounts reportedTaskCounts;
  final TaskFailures failures;
  final ZoneControl zones;
  final BootTimes bootTimes;
  final MachineProvisioner provisioner;
  final ScaleOutOptions scaleOutOptions;

  /**
   * Creates the components without any machine.
   *
   * @param knownTypes the machine types that the node has loaded before the election
   */
  MachineComponents(LeadershipContext context, Collection<MachineType> knownTypes) {
    Settings settings = context.services().settings();
    machines =
        new MachineRegistry(
            initialLeaseEnd(settings, context.services().tuning(), context.electedAt()));
    machineTypes =
        new MachineTypeCatalog(context.services().cloud(), context.executor(), knownTypes);
    reportedTaskCounts = new ReportedTaskCounts();
    failures =
        new TaskFailures(
            context.ledger(), machines, settings.storeLimits().writeRps(), context.electedAt());
    zones = ZoneControl.of(context, machines, failures);
    bootTimes = new BootTimes(machines, machineTypes, context.electedAt());
    provisioner = new MachineProvisioner(context, machines);
    scaleOutOptions = new ScaleOutOptions(settings.zones(), machineTypes, bootTimes, provisioner);
  }

  /**
   * When the lease of a machine has expired at the latest from which this leadership has received
   * no heartbeat. An earlier leader may have answered heartbeats for the grace that it was allowed.
   */
  private static SteadyTime initialLeaseEnd(
      Settings settings, Tuning tuning, SteadyTime electedAt) {
    double graceS = Election.grace(tuning, settings.workers()) * (1 + Settings.MAX_CLOCK_DRIFT);
    return electedAt.plusSeconds(graceS + tuning.workerLeaseS(settings.workers()));
  }
}
