package org.ternhinge.controller;

import org.ternhinge.ledger.Keys;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.Heartbeat;

/** Builds the parts of a leadership that deal with machines and their workers. */
final class FleetComponents {
  private final LeadershipContext context;
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

  FleetComponents(LeadershipContext context) {
    this.context = context;
    this.failures = failures();
    this.zones = ZoneControl.of(context, failures);
    this.bootTimes =
        new BootTimes(context.machines(), context.machineTypes().byName(), context.electedAt());
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
            observer(),
            reportedTaskCounts,
            attempts,
            provisioner,
            new HeartbeatCommands(context.ledger()),
            bootTimes);
    this.removal =
        new MachineRemoval(
            context.machines(),
            context.ledger(),
            reportedTaskCounts,
            attempts,
            context.services().workers());
    this.releaser = releaser();
    this.inventory = inventory();
    this.leaseMonitor = leaseMonitor();
    this.unusableMachines =
        new UnusableMachineCheck(
            context.services().settings(),
            context.machines(),
            context.machineTypes(),
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
        context.machines(),
        context.services().settings().storeLimits().writeRps(),
        context.electedAt());
  }

  private MachineProvisioner provisioner() {
    return new MachineProvisioner(
        context.services(),
        context.authority(),
        context.executor(),
        context.machines(),
        context.rounds(),
        context.bucketedRecords(Keys.PROVISIONS));
  }

  private AttemptLifecycle attempts() {
    return new AttemptLifecycle(
        context.ledger(),
        context.writer(),
        context.machines(),
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
        context.machineTypes().byName(),
        failures,
        context.services().metrics());
  }

  private MachineReleaser releaser() {
    return new MachineReleaser(
        removal,
        context.services(),
        context.authority(),
        context.executor(),
        context.machines(),
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
        context.machines(),
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
        context.machines(),
        attempts,
        reportedTaskCounts,
        dispatcher,
        new TermFence(context.authority(), context.writer(), context.machines()),
        context.rounds());
  }
}
