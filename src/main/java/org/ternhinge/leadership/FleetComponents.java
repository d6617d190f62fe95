package org.ternhinge.leadership;

import org.ternhinge.attempt.AgentStatusSink;
import org.ternhinge.attempt.AttemptLifecycle;
import org.ternhinge.attempt.AttemptObserver;
import org.ternhinge.attempt.CommandDispatcher;
import org.ternhinge.attempt.MessageOrigin;
import org.ternhinge.attempt.TermAnnouncer;
import org.ternhinge.attempt.TermFence;
import org.ternhinge.failover.ZoneControl;
import org.ternhinge.heartbeat.AgentStatusUpdater;
import org.ternhinge.heartbeat.FirstHeartbeatHandler;
import org.ternhinge.heartbeat.HeartbeatProcessor;
import org.ternhinge.heartbeat.LeaseMonitor;
import org.ternhinge.heartbeat.ReachabilityMonitor;
import org.ternhinge.machine.BootTimes;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.machine.ReportedTaskCounts;
import org.ternhinge.machine.TaskFailures;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.scaling.ListedTermAnnouncer;
import org.ternhinge.scaling.MachineInventory;
import org.ternhinge.scaling.MachineProvisioner;
import org.ternhinge.scaling.MachineReleaser;
import org.ternhinge.scaling.MachineRemoval;
import org.ternhinge.scaling.ScaleOutOptions;
import org.ternhinge.scaling.UnusableMachineCheck;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.Heartbeat;

/** Builds the parts of a leadership that deal with machines and their workers. */
final class FleetComponents {
  private final LeadershipContext context;
  private final MachineRegistry machines;
  private final MachineTypeCatalog machineTypes;
  private final CommandDispatcher dispatcher;
  private final AgentStatusUpdater statusUpdater;
  private final MachineRemoval removal;

  final TaskFailures failures;

  final BootTimes bootTimes;

  final ZoneControl zones;

  final ReportedTaskCounts reportedTaskCounts = new ReportedTaskCounts();
  final MachineProvisioner provisioner;
  final ScaleOutOptions scaleOutOptions;
  final AttemptLifecycle attempts;
  final HeartbeatProcessor heartbeats;
  final MachineReleaser releaser;
  final MachineInventory inventory;
  final LeaseMonitor leaseMonitor;
  final UnusableMachineCheck unusableMachines;

  FleetComponents(
      LeadershipContext context, MachineRegistry machines, MachineTypeCatalog machineTypes) {
    this.context = context;
    this.machines = machines;
    this.machineTypes = machineTypes;
    this.failures = failures();
    this.zones = ZoneControl.of(context, machines, failures);
    this.bootTimes = new BootTimes(machines, machineTypes, context.electedAt());
    this.provisioner = new MachineProvisioner(context, machines);
    this.scaleOutOptions =
        new ScaleOutOptions(
            context.services().settings().zones(), machineTypes, bootTimes, provisioner);
    this.dispatcher = new CommandDispatcher(context, this::applyStatus);
    this.attempts = attempts();
    ReachabilityMonitor reachability = new ReachabilityMonitor(machines, context.rounds());
    this.statusUpdater = statusUpdater(reachability);
    this.heartbeats = new HeartbeatProcessor(context, machines, statusUpdater, reachability);
    this.removal =
        new MachineRemoval(
            machines, context.ledger(), reportedTaskCounts, attempts, context.services().workers());
    this.releaser = new MachineReleaser(context, machines, removal);
    this.inventory = inventory();
    this.leaseMonitor = leaseMonitor();
    this.unusableMachines =
        new UnusableMachineCheck(context, machines, machineTypes, releaser, bootTimes);
  }

  /** Responses to commands carry a status; the dispatcher is built before what applies it. */
  private AgentStatusSink.Result applyStatus(
      Machine machine, Heartbeat status, MessageOrigin origin, SteadyTime now) {
    return statusUpdater.apply(machine, status, origin, now);
  }

  private AgentStatusUpdater statusUpdater(ReachabilityMonitor reachability) {
    return new AgentStatusUpdater(
        context,
        reachability,
        reportedTaskCounts,
        observer(),
        attempts,
        new FirstHeartbeatHandler(context, provisioner, bootTimes));
  }

  private TaskFailures failures() {
    return new TaskFailures(
        context.ledger(),
        machines,
        context.services().settings().storeLimits().writeRps(),
        context.electedAt());
  }

  private AttemptLifecycle attempts() {
    return new AttemptLifecycle(context, machines, dispatcher, zones);
  }

  private AttemptObserver observer() {
    return new AttemptObserver(
        attempts, context.ledger(), machineTypes, failures, context.services().metrics());
  }

  private MachineInventory inventory() {
    TermAnnouncer announcer =
        new TermAnnouncer(
            context.authority(), dispatcher, statusUpdater, context.services().clock());
    return new MachineInventory(
        context,
        machines,
        provisioner,
        releaser,
        removal,
        new ListedTermAnnouncer(context, dispatcher, announcer));
  }

  private LeaseMonitor leaseMonitor() {
    return new LeaseMonitor(
        context,
        machines,
        attempts,
        reportedTaskCounts,
        dispatcher,
        new TermFence(context.authority(), context.writer(), machines));
  }
}
