package org.ternhinge.controller;

import org.ternhinge.ledger.Keys;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.WorkerReport;

/** Builds the parts of a leadership that deal with machines and their workers. */
final class FleetParts {
  private final LeadershipContext context;
  private final CommandDispatcher dispatcher;
  private final MachineRemoval removal;

  final TaskFailures failures;

  final BootTimes bootTimes;

  final ZoneControl zones;

  final ShownTasks shownTasks = new ShownTasks();
  final Rentals rentals;
  final AttemptLifecycle attempts;
  final ReportProcessor reports;
  final MachineReleases releases;
  final MachineInventory inventory;
  final LeaseMonitor leaseMonitor;
  final UnusableMachineCheck unusableMachines;

  FleetParts(LeadershipContext context) {
    this.context = context;
    this.failures = failures();
    this.zones = ZoneControl.of(context, failures);
    this.bootTimes =
        new BootTimes(context.machines(), context.machineTypes().byName(), context.electedAt());
    this.rentals = rentals();
    this.dispatcher =
        new CommandDispatcher(
            context.executor(),
            this::takeReport,
            context.services(),
            context.authority(),
            context.ledger());
    this.attempts = attempts();
    this.reports =
        new ReportProcessor(
            context,
            observer(),
            shownTasks,
            attempts,
            rentals,
            new ReportAnswers(context.ledger()),
            bootTimes);
    this.removal =
        new MachineRemoval(
            context.machines(),
            context.ledger(),
            shownTasks,
            attempts,
            context.services().workers());
    this.releases = releases();
    this.inventory = inventory();
    this.leaseMonitor = leaseMonitor();
    this.unusableMachines =
        new UnusableMachineCheck(
            context.services().settings(),
            context.machines(),
            context.machineTypes(),
            context.ledger(),
            releases,
            bootTimes,
            context.electedAt());
  }

  /** Answers to commands are reports too; the dispatcher is built before who takes them. */
  private boolean takeReport(
      Machine machine, WorkerReport report, boolean isReport, SteadyTime now) {
    return reports.take(machine, report, isReport, now);
  }

  private TaskFailures failures() {
    return new TaskFailures(
        context.ledger(),
        context.machines(),
        context.services().settings().stateLimits().writeRps(),
        context.electedAt());
  }

  private Rentals rentals() {
    return new Rentals(
        context.services(),
        context.authority(),
        context.executor(),
        context.machines(),
        context.rounds(),
        context.packedRecords(Keys.RENTALS));
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

  private MachineReleases releases() {
    return new MachineReleases(
        removal,
        context.services(),
        context.authority(),
        context.executor(),
        context.machines(),
        context.rounds(),
        context.packedRecords(Keys.RELEASES),
        context.electedAt());
  }

  private MachineInventory inventory() {
    TermAnnouncer announcer =
        new TermAnnouncer(context.authority(), dispatcher, reports, context.services().clock());
    return new MachineInventory(
        context.services(),
        context.executor(),
        context.machines(),
        rentals,
        releases,
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
        shownTasks,
        dispatcher,
        new TermFence(context.authority(), context.writer(), context.machines()),
        context.rounds());
  }
}
