package org.ternhinge.leadership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.attempt.AttemptLifecycle;
import org.ternhinge.attempt.Cancellations;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.election.Election;
import org.ternhinge.failover.ZoneControl;
import org.ternhinge.heartbeat.HeartbeatProcessor;
import org.ternhinge.heartbeat.HeartbeatResult;
import org.ternhinge.heartbeat.LeaseMonitor;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Revision;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.round.ArrivalRates;
import org.ternhinge.round.FleetLog;
import org.ternhinge.round.SchedulingRounds;
import org.ternhinge.scaling.MachineInventory;
import org.ternhinge.scaling.UnusableMachineCheck;
import org.ternhinge.term.ControllerServices;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.MachineType;

/**
 * One leadership, from election to its end: builds the parts that schedule, starts them once the
 * ledger has been recovered, and stops them. Everything that they know dies with it, and the next
 * leadership starts from the key-value store, so nothing is carried over that another leader may
 * have changed in between. All methods run under the controller's lock.
 */
public final class Leadership {
  private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

  /** Seconds between two looks at leases and reservations; short against a worker's lease. */
  private static final double LEASE_CHECK_S = 0.5;

  private final Tuning tuning;
  private final Clock clock;
  private final Metrics metrics;
  private final Authority authority;
  private final SteadyTime electedAt;

  private final LeadershipExecutor executor;
  private final Ledger ledger;
  private final LedgerWriter writer;
  private final MachineRegistry machines;
  private final MachineTypeCatalog machineTypes;
  private final AttemptLifecycle attempts;
  private final HeartbeatProcessor heartbeats;
  private final LeaseMonitor leaseMonitor;
  private final UnusableMachineCheck unusableMachines;
  private final MachineInventory inventory;
  private final DependencyResolver dependencyResolver;
  private final Cancellations cancellations;
  private final JobWatch jobWatch;
  private final LeadershipRecovery recovery;
  private final SchedulingRounds rounds;
  private final FleetLog fleetLog;
  private final ZoneControl zones;

  /** Requests that came before the ledger was there. */
  private final List<Runnable> waitingForReady = new ArrayList<>();

  private boolean ready;

  /**
   * Creates a leadership that has not recovered anything yet.
   *
   * @param authority the term that this leadership acts under
   * @param knownTypes the machine types that the node knows already
   */
  public Leadership(
      ControllerServices services, Authority authority, Collection<MachineType> knownTypes) {
    this.tuning = services.tuning();
    this.clock = services.clock();
    this.metrics = services.metrics();
    this.authority = authority;
    this.electedAt = clock.now();
    this.executor = new LeadershipExecutor(clock, services.lock());
    this.ledger = ledger(services.settings());
    this.writer = writer(services);
    this.machines = new MachineRegistry(initialLeaseEnd(services.settings(), tuning, electedAt));
    this.machineTypes = new MachineTypeCatalog(services.cloud(), executor, knownTypes);
    LeadershipContext context = context(services);
    FleetComponents fleet = new FleetComponents(context, machines, machineTypes);
    this.attempts = fleet.attempts;
    this.heartbeats = fleet.heartbeats;
    this.inventory = fleet.inventory;
    this.leaseMonitor = fleet.leaseMonitor;
    this.unusableMachines = fleet.unusableMachines;
    this.zones = fleet.zones;
    PlanningComponents planning = new PlanningComponents(context, machines, machineTypes, fleet);
    this.rounds = planning.rounds;
    this.fleetLog = planning.fleetLog;
    this.dependencyResolver =
        new DependencyResolver(services.store(), ledger, executor, this::dependenciesChanged);
    this.cancellations = new Cancellations(ledger, attempts, writer);
    this.jobWatch = jobWatch(context, planning.arrivalRates);
    this.recovery =
        new LeadershipRecovery(
            services,
            executor,
            ledger,
            machines,
            fleet.provisioner,
            fleet.releaser,
            fleet.failures);
  }

  private Ledger ledger(Settings settings) {
    return new Ledger(settings.teams(), settings.storeLimits().valueBytes(), clock);
  }

  private LedgerWriter writer(ControllerServices services) {
    return new LedgerWriter(
        ledger,
        services.store(),
        authority,
        clock,
        services.lock(),
        services.settings().storeLimits().maxChangesPerSwap(),
        this::written);
  }

  private LeadershipContext context(ControllerServices services) {
    return new LeadershipContext(
        services, authority, executor, ledger, writer, this::requestRound, electedAt);
  }

  private JobWatch jobWatch(LeadershipContext context, ArrivalRates arrivalRates) {
    return new JobWatch(
        context.services(),
        authority,
        executor,
        ledger,
        writer,
        machines,
        arrivalRates,
        dependencyResolver,
        context.rounds());
  }

  /**
   * When the lease of a machine that this leadership has not heard from is over at the latest. An
   * earlier leader may have gone on answering reports for the grace that it was allowed.
   */
  private static SteadyTime initialLeaseEnd(
      Settings settings, Tuning tuning, SteadyTime electedAt) {
    double driftFactor = 1 + Settings.DRIFT;
    double graceS = Election.grace(tuning, settings.workers()) * driftFactor;
    double leaseS = settings.workers().leaseS() * driftFactor + tuning.marginS();
    return electedAt.plusSeconds(graceS + leaseS);
  }

  // ---- life cycle -----------------------------------------------------------------------------

  /** Recovers what earlier leaderships recorded, and then schedules until it is stopped. */
  public void start() {
    recovery.start(this::recovered);
  }

  private void recovered(Revision revision) {
    jobWatch.loaded(revision);
    ready = true;
    rounds.enable();
    metrics.failover(clock.now().secondsSince(electedAt));
    LOG.info(
        "term {}: {} jobs, {} machines in use",
        authority.term(),
        ledger.jobs().size(),
        machines.all().size());
    runWaiting();
    zones.recover();
    jobWatch.watch();
    inventory.list();
    machineTypes.refresh();
    dependencyResolver.pump();
    writer.pump();
    checkLeases();
    tick();
  }

  /** The leadership is over: no part of it acts any more. */
  public void stop() {
    executor.stop();
    writer.stop();
    runWaiting();
  }

  private void runWaiting() {
    List<Runnable> actions = List.copyOf(waitingForReady);
    waitingForReady.clear();
    actions.forEach(Runnable::run);
  }

  /** Whether the ledger is there, without which nothing may be answered. */
  public boolean ready() {
    return ready;
  }

  /** Runs an action when the ledger is there, or when this leadership has ended before. */
  public void whenReady(Runnable action) {
    waitingForReady.add(action);
  }

  /** The term that this leadership acts under. */
  public Authority authority() {
    return authority;
  }

  // ---- what recurs ----------------------------------------------------------------------------

  private void checkLeases() {
    if (authority.valid()) {
      SteadyTime now = clock.now();
      leaseMonitor.check(now);
      unusableMachines.check(now);
      zones.check(now);
    }
    executor.later(LEASE_CHECK_S, this::checkLeases);
  }

  /**
   * A round now and then even if nothing asks for one: reservations and waits age by themselves.
   */
  private void tick() {
    requestRound();
    fleetLog.logIfDue();
    executor.later(tuning.roundS(), this::tick);
  }

  private void requestRound() {
    rounds.requestRound();
  }

  // ---- what the parts tell each other ---------------------------------------------------------

  /** The key-value store holds a transaction: what waited for that goes on. */
  private void written(List<Attempt> opened) {
    cancellations.answerDurable();
    if (ledger.dependencies().takeReady()) {
      requestRound();
    }
    attempts.startDurable(opened);
  }

  /** The fate of a job that others wait for has become known. */
  private void dependenciesChanged() {
    if (ledger.dependencies().takeReady()) {
      requestRound();
    }
    writer.pump();
  }

  // ---- what the node asks ---------------------------------------------------------------------

  /** Adds machine types that the node has read. */
  public void learn(List<MachineType> types) {
    machineTypes.learn(types);
    requestRound();
  }

  /** Takes in a job whose record was just created by this node. */
  public void adopt(Job job, Revision created) {
    jobWatch.adopt(job, created);
  }

  /** The job of this id, or null where the ledger does not hold it. */
  public Job job(JobId id) {
    return ledger.job(id);
  }

  /**
   * The state of a job, or null where only the key-value store can tell: a write whose answer is
   * still out may be carried out already, and another node may have told a user so.
   */
  public JobState stateOf(JobId id) {
    Job job = ledger.job(id);
    return job == null ? ledger.ended(id) : ledger.stateFor(job);
  }

  /**
   * Cancels a job that this ledger holds.
   *
   * @param listener gets the state once the key-value store holds it, and not before
   */
  public void cancel(Job job, Consumer<JobState> listener) {
    cancellations.cancel(job, listener);
  }

  /** Whether a worker's lease may be renewed while no commands may be given. */
  public boolean mayKeepAlive(Heartbeat heartbeat) {
    return leaseMonitor.mayRenewWithoutCommands(heartbeat);
  }

  /**
   * Processes a heartbeat.
   *
   * @param mayCommand whether commands may be given; otherwise an answer only renews the lease
   * @return the commands for the answer; empty where the heartbeat must not be answered
   */
  public Optional<List<Command>> heartbeat(Heartbeat heartbeat, boolean mayCommand) {
    return heartbeats.process(heartbeat, mayCommand) instanceof HeartbeatResult.Answered answered
        ? Optional.of(answered.commands())
        : Optional.empty();
  }
}
