package org.ternhinge.leadership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.attempt.JobCanceller;
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
 * One term of leadership, from the election to its end: creates the scheduling components, starts
 * them after the ledger has been recovered, and stops them. No state outlives the leadership: the
 * next one recovers from the key-value store, since another leader may have changed anything in
 * between. All methods must be called under the controller's lock.
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
  private final JobCanceller jobCanceller;
  private final JobAdmission admission;
  private final JobWatch jobWatch;
  private final LeadershipRecovery recovery;
  private final RecoveryGate recoveryGate = new RecoveryGate();

  /**
   * Creates a leadership; {@link #start} begins the recovery.
   *
   * @param authority the authority for the term of this leadership
   * @param knownTypes the machine types that the node has already loaded
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
    jobCanceller = new JobCanceller(ledger, workers.attempts, writer);
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

  // ---- lifecycle ------------------------------------------------------------------------------

  /** Recovers the recorded state of earlier leaderships, then schedules until it is stopped. */
  public void start() {
    recovery.start(this::recovered);
  }

  private void recovered(Revision revision) {
    admission.onRecovered(revision);
    planning.rounds.enable();
    Clock clock = context.services().clock();
    context.services().metrics().recordFailover(clock.now().secondsSince(context.electedAt()));
    LOG.info(
        "leadership recovered in term {}: {} jobs, {} machines in use",
        context.authority().term(),
        ledger.jobs().size(),
        fleet.machines.all().size());
    recoveryGate.open();
    fleet.zones.recover();
    jobWatch.start(revision);
    scaling.inventory.start();
    fleet.machineTypes.refresh();
    dependencyResolver.resolvePending();
    writer.sendNext();
    periodicChecks.start();
  }

  /** Ends the leadership and stops all of its components. */
  public void stop() {
    context.executor().stop();
    writer.stop();
    recoveryGate.onLeadershipEnded();
  }

  /** Whether the ledger has been recovered; no request may be answered before that. */
  public boolean ready() {
    return recoveryGate.isOpen();
  }

  /** Runs an action when the ledger has been recovered or the leadership ends before that. */
  public void whenReady(Runnable action) {
    recoveryGate.defer(action);
  }

  /** Returns the authority for the term of this leadership. */
  public Authority authority() {
    return context.authority();
  }

  // ---- component events -----------------------------------------------------------------------

  private void requestRound() {
    planning.rounds.requestRound();
  }

  /** Called after each applied compare-and-swap; continues actions that required durability. */
  private void ledgerWritten(List<Attempt> opened) {
    jobCanceller.completeDurable();
    requestRoundForReadyJobs();
    workers.attempts.sendDurableStarts(opened);
  }

  /** Called when the final state of a dependency has been read. */
  private void dependencyResolved() {
    requestRoundForReadyJobs();
    writer.sendNext();
  }

  private void requestRoundForReadyJobs() {
    if (ledger.dependencies().drainReady()) {
      requestRound();
    }
  }

  // ---- node requests --------------------------------------------------------------------------

  /** Adds machine types that the node has loaded since the election. */
  public void addMachineTypes(List<MachineType> types) {
    fleet.machineTypes.putAll(types);
    requestRound();
  }

  /**
   * Admits a job accepted by this node.
   *
   * @param created the revision at which the job's record was created
   */
  public void admitJob(Job job, Revision created) {
    admission.admit(job, created);
  }

  /** Returns the job with this id if the ledger contains it. */
  public Optional<Job> findJob(JobId id) {
    return Optional.ofNullable(ledger.job(id));
  }

  /**
   * Returns the state of a job, or empty if only the key-value store has the current state: a write
   * without a response so far may have been applied already, and another node may have reported its
   * result to a user.
   */
  public Optional<JobState> findState(JobId id) {
    Job job = ledger.job(id);
    return job == null ? ledger.findFinalState(id) : ledger.findState(job);
  }

  /**
   * Cancels a job of this ledger.
   *
   * @param listener receives the state once the cancellation is durable in the key-value store
   */
  public void cancel(Job job, Consumer<JobState> listener) {
    jobCanceller.cancel(job, listener);
  }

  /** Whether a worker's lease may be renewed while no commands may be sent. */
  public boolean mayRenewLease(Heartbeat heartbeat) {
    return workers.leaseMonitor.mayRenewWithoutCommands(heartbeat);
  }

  /**
   * Processes a heartbeat and returns the body of the response, or empty if no response may be
   * sent.
   *
   * @param mayCommand whether commands may be sent, which requires a valid leadership
   */
  public Optional<byte[]> processHeartbeat(Heartbeat heartbeat, boolean mayCommand) {
    return workers.heartbeats.process(heartbeat, mayCommand)
            instanceof HeartbeatResult.Accepted accepted
        ? Optional.of(Command.heartbeatResponse(accepted.token(), accepted.commands()))
        : Optional.empty();
  }
}
