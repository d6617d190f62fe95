package org.ternhinge.leadership;

import org.ternhinge.attempt.AttemptLifecycle;
import org.ternhinge.attempt.AttemptObserver;
import org.ternhinge.attempt.CommandDispatcher;
import org.ternhinge.attempt.TermAnnouncer;
import org.ternhinge.attempt.TermFence;
import org.ternhinge.failover.ZoneControl;
import org.ternhinge.heartbeat.HeartbeatCommands;
import org.ternhinge.heartbeat.HeartbeatProcessor;
import org.ternhinge.heartbeat.LeaseMonitor;
import org.ternhinge.ledger.Keys;
import org.ternhinge.machine.BootTimes;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.machine.ReportedTaskCounts;
import org.ternhinge.machine.TaskFailures;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.scaling.MachineInventory;
import org.ternhinge.scaling.MachineProvisioner;
import org.ternhinge.scaling.MachineReleaser;
import org.ternhinge.scaling.MachineRemoval;
import org.ternhinge.scaling.UnusableMachineCheck;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.Heartbeat;

/** Builds the parts of a leadership that deal with machines and their workers. */
final class FleetComponents {
  private final LeadershipContext context;
  private final MachineRegistry machines;
  private final MachineTypeCatalog machineTypes;
  private final CommandDispatcher dispatcher;
  private final MachineRemoval removal;

  final TaskFailures failures;

  final BootTimes bootTimes;

  final ZoneControl zones;

  final ReportedTaskCounts reportedTaskCounts = new ReportedTaskCounts();
  final MachineProvisioner provisioner;
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
    this.bootTimes = new BootTimes(machines, machineTypes.byName(), context.electedAt());
    this.provisioner = provisioner();
    this.dispatcher =
        new CommandDispatcher(
            context.executor(),
            this::takeHeartbeat,
            context.services(),
            context.authority(),
            context.ledger());
    this.attempts = attempts();
    this.heartbeats =
        new HeartbeatProcessor(
            context,
            machines,
            observer(),
            reportedTaskCounts,
            attempts,
            provisioner,
            new HeartbeatCommands(context.ledger()),
            bootTimes);
    this.removal =
        new MachineRemoval(
            machines, context.ledger(), reportedTaskCounts, attempts, context.services().workers());
    this.releaser = releaser();
    this.inventory = inventory();
    this.leaseMonitor = leaseMonitor();
    this.unusableMachines =
        new UnusableMachineCheck(
            context.services().settings(),
            machines,
            machineTypes,
            context.ledger(),
            releaser,
            bootTimes,
            context.electedAt());
  }

  /** Answers to commands are reports too; the dispatcher is built before who takes them. */
  private boolean takeHeartbeat(
      Machine machine, Heartbeat heartbeat, boolean isHeartbeat, SteadyTime now) {
    return heartbeats.take(machine, heartbeat, isHeartbeat, now);
  }

  private TaskFailures failures() {
    return new TaskFailures(
        context.ledger(),
        machines,
        context.services().settings().storeLimits().writeRps(),
        context.electedAt());
  }

  private MachineProvisioner provisioner() {
    return new MachineProvisioner(
        context.services(),
        context.authority(),
        context.executor(),
        machines,
        context.rounds(),
        context.bucketedRecords(Keys.PROVISIONS));
  }

  private AttemptLifecycle attempts() {
    return new AttemptLifecycle(
        context.ledger(),
        context.writer(),
        machines,
        dispatcher,
        context.rounds(),
        context.services().clock(),
        zones);
  }

  private AttemptObserver observer() {
    return new AttemptObserver(
        attempts,
        context.authority(),
        context.ledger(),
        machineTypes.byName(),
        failures,
        context.services().metrics());
  }

  private MachineReleaser releaser() {
    return new MachineReleaser(
        removal,
        context.services(),
        context.authority(),
        context.executor(),
        machines,
        context.rounds(),
        context.bucketedRecords(Keys.RELEASES),
        context.electedAt());
  }

  private MachineInventory inventory() {
    TermAnnouncer announcer =
        new TermAnnouncer(context.authority(), dispatcher, heartbeats, context.services().clock());
    return new MachineInventory(
        context.services(),
        context.executor(),
        machines,
        provisioner,
        releaser,
        removal,
        dispatcher,
        announcer,
        context.rounds(),
        context.electedAt());
  }

  private LeaseMonitor leaseMonitor() {
    return new LeaseMonitor(
        context.services().settings().workers(),
        context.ledger(),
        machines,
        attempts,
        reportedTaskCounts,
        dispatcher,
        new TermFence(context.authority(), context.writer(), machines),
        context.rounds());
  }
}
