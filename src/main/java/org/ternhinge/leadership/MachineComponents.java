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
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.scaling.MachineProvisioner;
import org.ternhinge.scaling.ScaleOutOptions;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.MachineType;

/**
 * The components that track machines: existing machines, provisioning requests, machine types, and
 * the health of machines and zones. Depends on no other group of components.
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
   * Creates the components with no machines.
   *
   * @param knownTypes the machine types that the node loaded before the election
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
   * Returns the latest possible lease expiry of a machine that has sent no heartbeat to this
   * leader. An earlier leader may have renewed leases until the end of its grace period.
   */
  private static MonotonicTime initialLeaseEnd(
      Settings settings, Tuning tuning, MonotonicTime electedAt) {
    double graceS =
        Election.gracePeriodS(tuning, settings.workers()) * (1 + Settings.MAX_CLOCK_DRIFT);
    return electedAt.plusSeconds(graceS + tuning.workerLeaseS(settings.workers()));
  }
}
