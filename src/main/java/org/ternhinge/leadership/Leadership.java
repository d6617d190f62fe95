package org.ternhinge.leadership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.attempt.Cancellations;
import org.ternhinge.config.Settings;
import org.ternhinge.heartbeat.HeartbeatResult;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Revision;
import org.ternhinge.term.ControllerServices;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.MachineType;

/**
 * One leadership, from election to its end: creates the components that schedule, starts them once
 * the ledger has been recovered, and stops them. All its state ends with it, and the next
 * leadership starts from the key-value store, so nothing is kept that another leader may have
 * changed in between. All methods run under the controller's lock.
 */
public final class Leadership {
  private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

  private final LeadershipContext context;
  private final Ledger ledger;
  private final LedgerWriter writer;
  private final MachineComponents fleet;
  private final WorkerComponents workers;
  private final ScalingComponents scaling;
  private final PlanningComponents planning;
  private final PeriodicChecks periodicChecks;
  private final DependencyResolver dependencyResolver;
  private final Cancellations cancellations;
  private final JobAdmission admission;
  private final JobWatch jobWatch;
  private final LeadershipRecovery recovery;
  private final RecoveryGate recoveryGate = new RecoveryGate();

  /**
   * Creates a leadership that has not recovered anything yet.
   *
   * @param authority the term that this leadership acts under
   * @param knownTypes the machine types that the node has loaded already
   */
  public Leadership(
      ControllerServices services, Authority authority, Collection<MachineType> knownTypes) {
    context = createContext(services, authority);
    ledger = context.ledger();
    writer = context.writer();
    fleet = new MachineComponents(context, knownTypes);
    workers = new WorkerComponents(context, fleet);
    scaling = new ScalingComponents(context, fleet, workers);
    planning = new PlanningComponents(context, fleet, workers, scaling);
    periodicChecks = new PeriodicChecks(context, fleet, workers, scaling, planning);
    dependencyResolver = new DependencyResolver(context, this::dependencyResolved);
    cancellations = new Cancellations(ledger, workers.attempts, writer);
    admission =
        new JobAdmission(context, fleet.machines, planning.arrivalRates, dependencyResolver);
    jobWatch = new JobWatch(context, admission);
    recovery = new LeadershipRecovery(context, fleet, scaling.releaser);
  }

  private LeadershipContext createContext(ControllerServices services, Authority authority) {
    Clock clock = services.clock();
    Settings settings = services.settings();
    Settings.StoreLimits limits = settings.storeLimits();
    Ledger newLedger = new Ledger(settings.teams(), limits.valueBytes(), clock);
    LedgerWriter newWriter =
        new LedgerWriter(
            newLedger,
            services.store(),
            authority,
            clock,
            services.lock(),
            limits.maxChangesPerSwap(),
            this::ledgerWritten);
    return new LeadershipContext(
        services,
        authority,
        new LeadershipExecutor(clock, services.lock()),
        newLedger,
        newWriter,
        this::requestRound,
        clock.now());
  }

  // ---- life cycle -----------------------------------------------------------------------------

  /** Recovers what earlier leaderships recorded, and then schedules until it is stopped. */
  public void start() {
    recovery.start(this::recovered);
  }

  private void recovered(Revision revision) {
    admission.recovered(revision);
    planning.rounds.enable();
    Clock clock = context.services().clock();
    context.services().metrics().recordFailover(clock.now().secondsSince(context.electedAt()));
    LOG.info(
        "term {}: {} jobs, {} machines in use",
        context.authority().term(),
        ledger.jobs().size(),
        fleet.machines.all().size());
    recoveryGate.open();
    fleet.zones.recover();
    jobWatch.start(revision);
    scaling.inventory.list();
    fleet.machineTypes.refresh();
    dependencyResolver.pump();
    writer.pump();
    periodicChecks.start();
  }

  /** The leadership is over: none of its components acts any more. */
  public void stop() {
    context.executor().stop();
    writer.stop();
    recoveryGate.abandon();
  }

  /** Whether the ledger has been recovered, without which nothing may be answered. */
  public boolean ready() {
    return recoveryGate.isOpen();
  }

  /** Runs an action once the ledger is recovered, or when this leadership has ended before. */
  public void whenReady(Runnable action) {
    recoveryGate.runLater(action);
  }

  /** The term that this leadership acts under. */
  public Authority authority() {
    return context.authority();
  }

  // ---- events of components -------------------------------------------------------------------

  private void requestRound() {
    planning.rounds.requestRound();
  }

  /** A compare-and-swap has been applied: continues what had to be durable before. */
  private void ledgerWritten(List<Attempt> opened) {
    cancellations.answerDurable();
    requestRoundForReadyJobs();
    workers.attempts.startDurable(opened);
  }

  /** The end of a job that others depend on has become known. */
  private void dependencyResolved() {
    requestRoundForReadyJobs();
    writer.pump();
  }

  private void requestRoundForReadyJobs() {
    if (ledger.dependencies().drainReady()) {
      requestRound();
    }
  }

  // ---- requests of the node -------------------------------------------------------------------

  /** Adds machine types that the node has loaded. */
  public void addMachineTypes(List<MachineType> types) {
    fleet.machineTypes.learn(types);
    requestRound();
  }

  /**
   * Admits a job that this node has accepted.
   *
   * @param created the revision at which the job's record was created
   */
  public void jobAccepted(Job job, Revision created) {
    admission.admit(job, created);
  }

  /** The job of this id, if the ledger holds it. */
  public Optional<Job> job(JobId id) {
    return Optional.ofNullable(ledger.job(id));
  }

  /**
   * The state of a job, or nothing where only the key-value store has it: a write whose answer is
   * outstanding may be applied already, and another node may have answered a user accordingly.
   */
  public Optional<JobState> stateOf(JobId id) {
    Job job = ledger.job(id);
    return job == null ? ledger.findEnd(id) : ledger.findState(job);
  }

  /**
   * Cancels a job that this ledger holds.
   *
   * @param listener gets the state once the cancellation is durable in the key-value store
   */
  public void cancel(Job job, Consumer<JobState> listener) {
    cancellations.cancel(job, listener);
  }

  /** Whether a worker's lease may be renewed while no commands may be given. */
  public boolean mayKeepAlive(Heartbeat heartbeat) {
    return workers.leaseMonitor.mayRenewWithoutCommands(heartbeat);
  }

  /**
   * Processes a heartbeat and returns the commands for the worker; empty where the heartbeat must
   * not be answered.
   *
   * @param mayCommand whether commands may be given, which needs a leadership that certainly holds
   */
  public Optional<List<Command>> heartbeat(Heartbeat heartbeat, boolean mayCommand) {
    return workers.heartbeats.process(heartbeat, mayCommand)
            instanceof HeartbeatResult.Answered answered
        ? Optional.of(answered.commands())
        : Optional.empty();
  }
}
