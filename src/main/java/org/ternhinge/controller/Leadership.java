package org.ternhinge.controller;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.election.Election;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.ledger.MachineAttributes;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Revision;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.TaskId;
import org.ternhinge.schedule.Plan;
import org.ternhinge.schedule.Planner;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Flavor;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.WorkerReport;

/**
 * One leadership, from election to its end: recovery, reports, rounds, rentals. Everything it knows
 * dies with it; the next one starts from the state service. All methods run under the lock.
 */
public final class Leadership implements RoundTrigger {
  private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
  private static final double RESERVE_S = 12;
  private static final double DESCRIBE_S = 20;

  /** How often leases and reservations are looked at. */
  private static final double WATCH_S = 0.5;

  /**
   * Rounds take at most about one part in so many of the time. With four, they took more of it at a
   * thousand machines than all reports and orders did.
   */
  private static final double ROUND_PAUSE = 15;

  private final Settings settings;
  private final Tuning tuning;
  private final Authority authority;
  private final Cloud cloud;
  private final Clock clock;
  private final Lock lock;
  private final Executor scheduler;
  private final Metrics metrics;

  private final Ledger ledger;
  private final LedgerWriter writer;
  private final SnapshotCache views;
  private final LeadershipExecutor executor;
  private final MachineRegistry machines;
  private final MachineTypes machineTypes;
  private final Map<JobId, JobFailures> troubles = new HashMap<>();
  private final Rentals rentals;
  private final MachineReleases returns;
  private final MachineInventory listing;
  private final CommandDispatcher orders;
  private final AttemptLifecycle attempts;
  private final ReportProcessor reports;
  private final LeaseMonitor leaseMonitor;
  private final UnusableMachineCheck unusableMachines;
  private final Cancellations cancellations;
  private final JobWatch jobWatch;
  private final LeadershipRecovery recovery;
  private final ArrivalRates arrivals;
  private final DependencyResolver endReads;
  private final SteadyTime electedAt;

  private final List<Runnable> waiting = new ArrayList<>();
  private boolean ready;
  private boolean roundAsked;
  private boolean roundRunning;
  private SteadyTime lastRound;
  private double roundTookS;
  private SteadyTime described;

  Leadership(ControllerServices s, Authority authority, Collection<Flavor> known) {
    this.settings = s.settings();
    this.tuning = s.tuning();
    this.authority = authority;
    this.cloud = s.cloud();
    this.clock = s.clock();
    this.lock = s.lock();
    this.scheduler = s.scheduler();
    this.metrics = s.metrics();
    this.electedAt = clock.now();
    this.lastRound = electedAt;
    this.described = electedAt;
    double lease = settings.workers().leaseS() * (1 + Settings.DRIFT) + tuning.marginS();
    // An earlier leader may have gone on answering reports for the grace that it was allowed.
    this.machines =
        new MachineRegistry(
            electedAt.plusSeconds(
                Election.grace(tuning, settings.workers()) * (1 + Settings.DRIFT) + lease));
    this.executor = new LeadershipExecutor(clock, lock);
    this.machineTypes = new MachineTypes(cloud, executor, known);
    int value = settings.stateLimits().valueBytes();
    this.ledger = new Ledger(settings.teams(), value, clock);
    this.writer =
        new LedgerWriter(
            ledger,
            s.store(),
            authority,
            clock,
            lock,
            settings.stateLimits().txnOps(),
            this::nowDurable);
    PackedRecords rented = new PackedRecords(writer, Keys.RENTALS, value);
    PackedRecords returning = new PackedRecords(writer, Keys.RELEASES, value);
    this.rentals = new Rentals(s, authority, executor, machines, this, rented);
    this.orders = new CommandDispatcher(executor, this::take, s, authority, ledger);
    this.attempts = new AttemptLifecycle(ledger, writer, machines, orders, this, clock);
    this.reports =
        new ReportProcessor(
            attempts,
            machines,
            this,
            s,
            authority,
            ledger,
            machineTypes.byName(),
            troubles,
            rentals,
            orders);
    MachineRemoval removal = new MachineRemoval(machines, ledger, reports, attempts, s.workers());
    this.returns =
        new MachineReleases(removal, s, authority, executor, machines, this, returning, electedAt);
    this.listing =
        new MachineInventory(
            removal, s, authority, orders, rentals, returns, executor, machines, this, reports,
            electedAt);
    TermFence termFence = new TermFence(authority, writer, machines);
    this.leaseMonitor =
        new LeaseMonitor(
            settings.workers(), ledger, machines, attempts, reports, orders, termFence, this);
    this.unusableMachines =
        new UnusableMachineCheck(settings, machines, machineTypes, ledger, returns, electedAt);
    this.arrivals = new ArrivalRates(settings.objectives());
    this.views = new SnapshotCache(s, authority, ledger, machineTypes.byName(), troubles);
    this.endReads = new DependencyResolver(s.store(), ledger, executor, this::dependenciesChanged);
    this.cancellations = new Cancellations(ledger, attempts, writer);
    this.jobWatch =
        new JobWatch(s, authority, executor, ledger, writer, machines, arrivals, endReads, this);
    this.recovery = new LeadershipRecovery(s, executor, ledger, machines, rentals, returns);
  }

  void stop() {
    executor.stop();
    writer.stop();
    runWaiting();
  }

  private void runWaiting() {
    List<Runnable> actions = List.copyOf(waiting);
    waiting.clear();
    actions.forEach(Runnable::run);
  }

  boolean ready() {
    return ready;
  }

  /** Runs an action when the ledger is there, or when this leadership has ended before. */
  void whenReady(Runnable action) {
    waiting.add(action);
  }

  Authority authority() {
    return authority;
  }

  // ---- recovery -------------------------------------------------------------------------------

  /** Recovers what earlier leaderships recorded, and then schedules until it is stopped. */
  void start() {
    recovery.start(this::recovered);
  }

  private void recovered(Revision revision) {
    jobWatch.loaded(revision);
    ready = true;
    metrics.takeOver(clock.now().secondsSince(electedAt));
    LOG.info(
        "term {}: {} jobs, {} machines in use",
        authority.term(),
        ledger.jobs().size(),
        machines.all().size());
    runWaiting();
    jobWatch.follow();
    listing.list();
    machineTypes.refresh();
    endReads.pump();
    writer.pump();
    watch();
    tick();
  }

  /** Takes in a job whose record was just created by this node. */
  void adopt(Job job, Revision created) {
    jobWatch.adopt(job, created);
  }

  // ---- users ----------------------------------------------------------------------------------

  /**
   * The state of a job, or null where only the state service can tell: a write whose answer is
   * still out may be carried out already, and another node may have told a user so.
   */
  JobState stateOf(JobId id) {
    Job job = ledger.job(id);
    if (job == null) {
      return ledger.ended(id);
    }
    return ledger.stateFor(job);
  }

  /**
   * Cancels a job that this ledger holds.
   *
   * @param told gets the state once the state service holds it, and not before
   */
  void cancel(Job job, Consumer<JobState> told) {
    cancellations.cancel(job, told);
  }

  Job job(JobId id) {
    return ledger.job(id);
  }

  /** The fate of a job that others wait for has become known. */
  private void dependenciesChanged() {
    if (ledger.dependencies().takeReady()) {
      requestRound();
    }
    writer.pump();
  }

  // ---- reports --------------------------------------------------------------------------------

  /** Whether a worker's lease may be renewed while no commands may be given. */
  boolean mayKeepAlive(WorkerReport report) {
    return leaseMonitor.mayRenewWithoutCommands(report);
  }

  /** Takes in a report and says what the worker is to do; empty where it must not be answered. */
  Optional<List<Command>> report(WorkerReport r, boolean mayCommand) {
    return reports.report(r, mayCommand);
  }

  private boolean take(Machine m, WorkerReport r, boolean isReport, SteadyTime now) {
    return reports.take(m, r, isReport, now);
  }

  // ---- attempts -------------------------------------------------------------------------------

  /** The state service holds these attempts: their starts may go out. */
  private void nowDurable(List<Attempt> opened) {
    cancellations.answerDurable();
    if (ledger.dependencies().takeReady()) {
      requestRound();
    }
    attempts.startDurable(opened);
  }

  // ---- rounds ---------------------------------------------------------------------------------

  private void watch() {
    if (authority.valid()) {
      SteadyTime now = clock.now();
      leaseMonitor.check(now);
      unusableMachines.check(now);
    }
    executor.later(WATCH_S, this::watch);
  }

  private void tick() {
    requestRound();
    if (LOG.isDebugEnabled() && clock.now().secondsSince(described) >= DESCRIBE_S) {
      described = clock.now();
      machines.all().forEach(this::describe);
    }
    executor.later(tuning.roundS(), this::tick);
  }

  /** One line a machine, for whoever reads the log to see what runs where. */
  private void describe(Machine m) {
    Map<String, Integer> classes = new TreeMap<>();
    for (Attempt a : ledger.attemptsOn(m.id)) {
      classes.merge(a.job().spec().jobClass() + " " + a.seen(), 1, Integer::sum);
    }
    LOG.debug(
        "fleet {} {} {}{} {} {}{}{}",
        m.id,
        m.type,
        m.zoneName,
        m.spot ? " spot" : "",
        classes,
        m.reported ? "" : "not up ",
        m.releasing ? "releasing " : "",
        views.placeable(m, clock.now()) ? "" : "closed");
  }

  @Override
  public void requestRound() {
    if (roundAsked || !ready || executor.stopped()) {
      return;
    }
    roundAsked = true;
    // A long round is followed by a longer pause: reports and the renewal come first.
    double gap = Math.max(tuning.roundGapS(), Math.min(tuning.roundS(), roundTookS * ROUND_PAUSE));
    double wait = Math.max(0.01, gap - clock.now().secondsSince(lastRound));
    clock.after(wait, () -> scheduler.execute(this::round));
  }

  private void round() {
    Snapshot snapshot;
    lock.lock();
    try {
      roundAsked = false;
      if (executor.stopped() || roundRunning) {
        return;
      }
      lastRound = clock.now();
      if (!authority.valid() || machineTypes.byName().isEmpty()) {
        return;
      }
      roundRunning = true;
      snapshot = views.snapshot(machines.all(), arrivals, rentals, electedAt, lastRound);
    } finally {
      lock.unlock();
    }
    Plan plan = null;
    try {
      plan = Planner.plan(snapshot);
    } catch (RuntimeException e) {
      LOG.error("the planner failed", e);
    }
    lock.lock();
    try {
      roundRunning = false;
      if (!executor.stopped() && plan != null && authority.valid()) {
        apply(plan);
      }
      SteadyTime now = clock.now();
      roundTookS = now.secondsSince(lastRound);
      metrics.round(roundTookS, plan == null ? 0 : plan.steps());
    } finally {
      lock.unlock();
    }
  }

  private void apply(Plan plan) {
    SteadyTime now = clock.now();
    for (Plan.Place p : plan.places()) {
      Job job = ledger.job(p.job());
      if (job == null) {
        continue;
      }
      List<Ledger.Placement> placements = new ArrayList<>();
      for (int i = 0; i < p.tasks().size(); i++) {
        Machine m = machines.find(p.machines().get(i));
        // One task that still shows somewhere must not keep the rest of its array waiting.
        boolean waits =
            !job.spec().isGang() && reports.ghost(new TaskId(p.job(), p.tasks().get(i)));
        if (m != null && !waits && views.placeable(m, now)) {
          MachineAttributes site =
              new MachineAttributes(
                  m.id,
                  m.session,
                  m.type,
                  m.zone,
                  m.zoneName,
                  m.spot,
                  machineTypes.find(m.type).capacity());
          placements.add(new Ledger.Placement(p.tasks().get(i), site));
        }
      }
      if (!job.spec().isGang()) {
        placements = ledger.whatFits(job, placements);
      }
      String against =
          placements.isEmpty() ? "no machine" : ledger.open(job, placements, reports::ghost, now);
      if (against != null) {
        LOG.debug("{} not placed: {}", p.job(), against);
        continue;
      }
      if (LOG.isDebugEnabled()) {
        LOG.debug("{} {} goes to {}", p.job(), job.spec().jobClass(), p.machines());
      }
      for (Ledger.Placement placed : placements) {
        Machine m = machines.find(placed.site().machine());
        m.view = null;
        dropReservation(m, p.job());
        Flavor f = machineTypes.find(m.type);
        m.hasImage(job.spec().image(), job.spec().imageGb(), f.cacheGb());
      }
    }
    for (Plan.Stop s : plan.stops()) {
      Machine m = machines.find(s.machine());
      if (m == null) {
        // Gone while the plan was made.
        continue;
      }
      m.view = null;
      m.kept.add(new Machine.Kept(s.forJob(), s.room(), now.plusSeconds(RESERVE_S)));
      for (Plan.Victim v : s.victims()) {
        Job job = ledger.job(v.job());
        Attempt a = job == null ? null : job.open(v.index());
        if (a != null) {
          LOG.debug("{} makes room for {}", a.task(), s.forJob());
          double grace = job.spec().checkpointS() > 0 ? job.spec().saveS() + 1 : 0;
          attempts.stopWithGang(a, grace);
          attempts.closeIfNeverSent(a);
        }
      }
    }
    writer.pump();
    for (Plan.Rent r : plan.rents()) {
      rentals.rent(r);
    }
    for (MachineId id : plan.releases()) {
      Machine m = machines.find(id);
      if (m != null && ledger.attemptsOn(id).isEmpty() && !m.releasing) {
        returns.release(m);
      }
    }
  }

  private static void dropReservation(Machine m, JobId job) {
    for (int i = 0; i < m.kept.size(); i++) {
      if (m.kept.get(i).job().equals(job)) {
        m.kept.remove(i);
        return;
      }
    }
  }

  // ---- machines that are gone -----------------------------------------------------------------

  void learn(List<Flavor> known) {
    machineTypes.learn(known);
    requestRound();
  }
}
