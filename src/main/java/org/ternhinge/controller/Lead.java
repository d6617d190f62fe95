package org.ternhinge.controller;

import com.fasterxml.jackson.databind.JsonNode;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
import org.ternhinge.ledger.LedgerLoader;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.ledger.RecordCodec;
import org.ternhinge.ledger.Site;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.model.Session;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.TaskId;
import org.ternhinge.schedule.Plan;
import org.ternhinge.schedule.Planner;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.state.Change;
import org.ternhinge.state.Entry;
import org.ternhinge.state.StateStore;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.Flavor;
import org.ternhinge.wire.HostInfo;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.TaskReport;
import org.ternhinge.wire.WireException;
import org.ternhinge.wire.WorkerReport;
import org.ternhinge.worker.Workers;

/**
 * One leadership, from election to its end: recovery, reports, rounds, rentals. Everything it knows
 * dies with it; the next one starts from the state service. All methods run under the lock.
 */
public final class Lead {
  private static final Logger LOG = LoggerFactory.getLogger(Lead.class);
  private static final double DRIFT = 0.001;
  private static final int MAX_COMMANDS = 400;

  /** A session that ends so long before its lease can have ended was answered in vain. */
  private static final double LAPSE_S = 2;

  /** So many machines may seem deaf before that is taken for this node's own trouble. */
  private static final int MOST_DEAF = 3;

  /** Workers told of the term by one listing. */
  private static final int MOST_GREETS = 40;

  private static final double FOLLOW_S = 20;
  private static final double RESERVE_S = 12;
  private static final double DESCRIBE_S = 20;

  /** More than a rental or a return takes in its record. */
  private static final double RENTAL_BYTES = 400;

  private static final double RETURN_BYTES = 160;

  /** How often leases and reservations are looked at. */
  private static final double WATCH_S = 0.5;

  /** Rounds take at most one part in so many of the time. */
  private static final double ROUND_PAUSE = 4;

  private static final double FENCE_AFTER_S = 4;
  private static final double FENCE_PAUSE_S = 10;

  private final Settings settings;
  private final Tuning tuning;
  private final Authority authority;
  private final StateStore store;
  private final Cloud cloud;
  private final Workers workers;
  private final Clock clock;
  private final Lock lock;
  private final Executor scheduler;
  private final Metrics metrics;

  private final Ledger ledger;
  private final LedgerWriter writer;
  private final Views views;
  private final Map<MachineId, Machine> machines = new TreeMap<>();

  /** How many machines show each task that has not ended. */
  private final Object2IntOpenHashMap<TaskId> shown = new Object2IntOpenHashMap<>();

  private final Set<MachineId> returned = new HashSet<>();
  private final Map<String, Flavor> flavors = new LinkedHashMap<>();
  private final Map<JobId, Trouble> troubles = new HashMap<>();
  private final Map<Job, List<Consumer<JobState>>> cancelWaits = new LinkedHashMap<>();
  private final Rentals rentals;
  private final Returns returns;
  private final Arrivals arrivals;
  private final SteadyTime electedAt;
  private final SteadyTime silentBy;

  private final List<Runnable> waiting = new ArrayList<>();
  private boolean ready;
  private boolean stopped;
  private boolean roundAsked;
  private boolean roundRunning;
  private SteadyTime lastRound;
  private double roundTookS;
  private SteadyTime described;
  private SteadyTime fencedAt;
  private boolean raising;

  /** Whether the message at hand lacks a start that an answer has carried before. */
  private boolean missedStart;

  private Revision watched;
  private Revision loadedAt;

  /** Everything around a leadership that outlives it. */
  public record Surroundings(
      Settings settings,
      Tuning tuning,
      StateStore store,
      Cloud cloud,
      Workers workers,
      Clock clock,
      Lock lock,
      Executor scheduler,
      Metrics metrics) {}

  Lead(Surroundings s, Authority authority, Collection<Flavor> known) {
    this.settings = s.settings();
    this.tuning = s.tuning();
    this.authority = authority;
    this.store = s.store();
    this.cloud = s.cloud();
    this.workers = s.workers();
    this.clock = s.clock();
    this.lock = s.lock();
    this.scheduler = s.scheduler();
    this.metrics = s.metrics();
    this.electedAt = clock.now();
    this.lastRound = electedAt;
    this.described = electedAt;
    double lease = settings.workers().leaseS() * (1 + DRIFT) + tuning.marginS();
    // An earlier leader may have gone on answering reports for the grace that it was allowed.
    this.silentBy =
        electedAt.plusSeconds(Election.grace(tuning, settings.workers()) * (1 + DRIFT) + lease);
    known.forEach(f -> flavors.put(f.name(), f));
    this.ledger =
        new Ledger(
            settings.teams(), RecordCodec.pieceSize(settings.stateLimits().valueKb()), clock);
    this.writer =
        new LedgerWriter(
            ledger,
            store,
            authority,
            clock,
            lock,
            settings.stateLimits().txnOps(),
            this::nowDurable);
    double value = settings.stateLimits().valueKb() * 1024;
    Slots rented = new Slots(writer, Keys.RENTALS, (int) (value / RENTAL_BYTES));
    Slots returning = new Slots(writer, Keys.RELEASES, (int) (value / RETURN_BYTES));
    this.rentals = new Rentals(this, cloud, rented, authority, clock, lock);
    this.returns = new Returns(this, cloud, authority, lock, returning);
    this.arrivals = new Arrivals(settings.objectives());
    this.views = new Views(s, authority, ledger, flavors, troubles);
  }

  void stop() {
    stopped = true;
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

  private void locked(Runnable action) {
    lock.lock();
    try {
      if (!stopped) {
        action.run();
      }
    } finally {
      lock.unlock();
    }
  }

  void later(double seconds, Runnable action) {
    clock.after(seconds, () -> locked(action));
  }

  // ---- recovery -------------------------------------------------------------------------------

  void start() {
    new LedgerLoader(store, clock, lock)
        .load(
            loaded -> {
              if (!stopped) {
                recovered(loaded);
              }
            });
  }

  private void recovered(LedgerLoader.Loaded loaded) {
    SteadyTime now = clock.now();
    for (Job job : loaded.jobs()) {
      ledger.adopt(job);
    }
    for (Entry e : loaded.releases()) {
      returns.resume(e);
    }
    for (Entry e : loaded.rentals()) {
      rentals.resume(e);
    }
    for (MachineId id : ledger.machinesInUse()) {
      machine(id, now);
    }
    for (Job job : ledger.jobs()) {
      if (job.cancelled()) {
        // The duty to end a cancelled job's tasks passes from leader to leader.
        job.openAttempts().forEach(a -> a.stop(0, now));
      }
    }
    watched = loaded.revision();
    loadedAt = loaded.revision();
    ready = true;
    metrics.takeOver(clock.now().secondsSince(electedAt));
    LOG.info(
        "term {}: {} jobs, {} machines in use",
        authority.term(),
        ledger.jobs().size(),
        machines.size());
    runWaiting();
    follow();
    list();
    refreshFlavors();
    writer.pump();
    watch();
    tick();
  }

  /** Jobs that other nodes accepted come by the watch. */
  private void follow() {
    store
        .follow(Keys.JOBS, watched, FOLLOW_S)
        .whenComplete(
            (o, e) ->
                locked(
                    () -> {
                      if (o instanceof Outcome.Applied<StateStore.Changes> seen) {
                        for (Change.Seen c : seen.value().changes()) {
                          adopt(c.key(), c.value(), c.revision());
                        }
                        if (seen.value().revision().value() > watched.value()) {
                          watched = seen.value().revision();
                        }
                        follow();
                      } else if (o != null && o.isBecause(Reason.TOO_OLD)) {
                        authority.lost("the watch fell behind");
                      } else {
                        later(0.3, this::follow);
                      }
                    }));
  }

  private void adopt(String key, JsonNode value, Revision revision) {
    if (value == null || key.indexOf('/', Keys.JOBS.length()) >= 0) {
      return;
    }
    JobId id = new JobId(key.substring(Keys.JOBS.length()));
    if (ledger.job(id) != null || ledger.ended(id) != null) {
      return;
    }
    try {
      adopt(LedgerLoader.read(value, revision, clock.now()), revision);
    } catch (WireException | IllegalArgumentException e) {
      LOG.error("job record {} is unreadable: {}", key, e.getMessage());
    }
  }

  /**
   * Takes in a job whose record was just created, here or by another node. A record from before the
   * load was part of it, or had ended by then: the answer to its acceptance may come late, and must
   * not bring an ended job back.
   */
  void adopt(Job job, Revision created) {
    JobId id = job.spec().id();
    if (created.compareTo(loadedAt) > 0 && ledger.job(id) == null && ledger.ended(id) == null) {
      ledger.adopt(job);
      LOG.debug("accepted {} of {}", id, job.spec().jobClass());
      arrivals.saw(job.spec(), clock.now());
      askRound();
    }
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
    boolean unsure = job.over() || (job.cancelled() && !job.cancelDurable());
    return unsure ? null : Ledger.stateOf(job);
  }

  /**
   * Cancels a job that this ledger holds.
   *
   * @param told gets the state once the state service holds it, and not before
   */
  void cancel(Job job, Consumer<JobState> told) {
    cancelWaits.computeIfAbsent(job, k -> new ArrayList<>()).add(told);
    ledger.cancel(job);
    for (Attempt a : List.copyOf(job.openAttempts())) {
      stopAttempt(a, 0);
    }
    settleUnsent(job);
    writer.pump();
    answerCancels();
  }

  private void answerCancels() {
    cancelWaits
        .entrySet()
        .removeIf(
            e -> {
              Job job = e.getKey();
              if (!job.cancelDurable() && !job.finalDurable()) {
                return false;
              }
              JobState ended = ledger.ended(job.spec().id());
              JobState state = ended != null ? ended : Ledger.stateOf(job);
              e.getValue().forEach(told -> told.accept(state));
              return true;
            });
  }

  Job job(JobId id) {
    return ledger.job(id);
  }

  // ---- reports --------------------------------------------------------------------------------

  Machine machine(MachineId id, SteadyTime now) {
    return machines.computeIfAbsent(id, k -> new Machine(k, now, silentBy));
  }

  Collection<Machine> machines() {
    return machines.values();
  }

  boolean wasReturned(MachineId id) {
    return returned.contains(id);
  }

  Flavor flavor(String type) {
    return flavors.get(type);
  }

  /**
   * Whether a worker's lease may be renewed while no commands may be given: not while something on
   * it has to be stopped, for the lease's end is then what stops it.
   */
  boolean mayKeepAlive(WorkerReport r) {
    for (Attempt a : ledger.attemptsOn(r.machine())) {
      if (a.stopping() || a.job().cancelled()) {
        return false;
      }
    }
    return true;
  }

  /** Takes in a report and says what the worker is to do. */
  List<Command> report(WorkerReport r, boolean mayCommand) {
    SteadyTime now = clock.now();
    if (r.token().compareTo(authority.term()) > 0) {
      authority.lost("a worker has seen term " + r.token());
      return List.of();
    }
    if (returned.contains(r.machine())) {
      // A late copy: what is certainly gone must not come back to life by it.
      return List.of();
    }
    Machine m = machine(r.machine(), now);
    boolean fresh = take(m, r, true, now);
    if (fresh && r.token().compareTo(authority.term()) < 0 && authority.term().equals(m.answered)) {
      missed(m, now);
    }
    m.answered = authority.term();
    // The report was sent before now, so a lease counted from now ends no sooner than the worker's.
    m.leaseEnds = leaseFrom(now).max(m.leaseEnds);
    if (!fresh || !mayCommand || m.gone) {
      return List.of();
    }
    return commands(m, r, now);
  }

  private SteadyTime leaseFrom(SteadyTime answered) {
    return answered.plusSeconds(settings.workers().leaseS() * (1 + DRIFT) + tuning.marginS());
  }

  /** Applies a message of a worker; false if a newer one was already known. */
  private boolean take(Machine m, WorkerReport r, boolean isReport, SteadyTime now) {
    int newer = r.session().compareTo(m.session);
    if (newer < 0
        || (newer == 0 && r.sequence() <= m.sequence)
        || r.session().compareTo(m.deadSession) <= 0) {
      return false;
    }
    if (newer > 0) {
      // The worker's lease ran out: everything of its earlier sessions is gone.
      for (Attempt a : List.copyOf(ledger.attemptsOn(m.id))) {
        if (a.session().compareTo(r.session()) < 0) {
          close(a, false, "session over");
        }
      }
      m.forgetStrays();
      m.outbox.clear();
      m.session = r.session();
      if (m.answered != null && m.leaseEnds.secondsSince(now) > LAPSE_S) {
        // It was answered lately, and its lease has ended for want of an answer.
        m.hearing.lapsed(now, othersHear());
      }
      // A session may have begun just now, and lasts a whole lease without any answer.
      m.leaseEnds = leaseFrom(now).max(m.leaseEnds);
    }
    m.sequence = r.sequence();
    if (r.token().compareTo(m.token) > 0) {
      m.token = r.token();
    }
    m.sawToken(r.token());
    if (!r.type().equals(m.type) || !r.zone().equals(m.zoneName) || m.spot != r.spot()) {
      m.type = r.type();
      m.zoneName = r.zone();
      m.zone = settings.zones().indexOf(r.zone());
      m.spot = r.spot();
      m.view = null;
    }
    m.lastReport = now;
    if (!m.reported) {
      m.reported = true;
      m.view = null;
      if (m.rentedAt != null && ledger.attemptsOn(m.id).isEmpty()) {
        m.idleSince = now;
      }
      rentals.seen(m.id);
      askRound();
    }
    if (m.endpoint == null || !m.endpointText.equals(r.endpoint())) {
      try {
        m.endpoint = Endpoint.parse(r.endpoint());
        m.endpointText = r.endpoint();
      } catch (IllegalArgumentException e) {
        LOG.warn("machine {} reports no usable endpoint", m.id);
      }
    }
    if (r.noticeS() != null && m.noticeAt == null) {
      m.noticeAt = now.plusSeconds(r.noticeS());
      noticed(m, r.noticeS());
    }
    if (!m.tasks.equals(r.tasks())) {
      show(m, r.tasks());
      observeAll(m, r, now);
    }
    missedStart = false;
    for (Attempt a : List.copyOf(ledger.attemptsOn(m.id))) {
      if (a.shownIn() != m.shownIn && a.session().equals(r.session())) {
        absent(m, a, r, isReport);
      }
    }
    if (missedStart) {
      missed(m, now);
    }
    return true;
  }

  private void missed(Machine m, SteadyTime now) {
    m.hearing.missed(now, othersHear());
    if (m.hearing.deaf()) {
      askRound();
    }
  }

  /** Where many machines seem deaf at once it is the way from this node, not they. */
  private boolean othersHear() {
    int deaf = 0;
    for (Machine m : machines.values()) {
      deaf += m.hearing.deaf() ? 1 : 0;
    }
    return deaf < Math.max(MOST_DEAF, machines.size() / 10);
  }

  /** Keeps count of what the machines show, by the difference to a machine's last message. */
  private void show(Machine m, List<TaskReport> tasks) {
    for (TaskReport t : m.tasks) {
      if (!t.ended() && shown.addTo(t.task(), -1) <= 1) {
        shown.removeInt(t.task());
      }
    }
    for (TaskReport t : tasks) {
      if (!t.ended()) {
        shown.addTo(t.task(), 1);
      }
    }
    m.tasks = tasks;
    m.shownIn = ++m.messages;
    m.view = null;
  }

  private void observeAll(Machine m, WorkerReport r, SteadyTime now) {
    for (TaskReport t : r.tasks()) {
      Job job = ledger.job(t.task().job());
      Attempt a = job == null ? null : job.open(t.task().index());
      if (a != null
          && a.number().equals(t.attempt())
          && a.machine().equals(m.id)
          && a.session().equals(r.session())) {
        a.shownIn(m.shownIn);
        observe(m, a, t, now);
      }
    }
  }

  private void observe(Machine m, Attempt a, TaskReport t, SteadyTime now) {
    if (t.ended()) {
      ended(m, a, t, now);
      return;
    }
    Attempt.Seen before = a.seen();
    Attempt.Seen seen =
        switch (t.state()) {
          case FETCHING -> Attempt.Seen.FETCHING;
          case WAITING -> Attempt.Seen.WAITING;
          case SAVING -> Attempt.Seen.SAVING;
          default -> Attempt.Seen.RUNNING;
        };
    a.see(seen, now);
    JobSpec spec = a.job().spec();
    if (seen != Attempt.Seen.FETCHING || m.images.containsKey(spec.image())) {
      Flavor f = flavors.get(m.type);
      m.hasImage(spec.image(), spec.imageGb(), f == null ? Double.MAX_VALUE : f.cacheGb());
    }
    if (before == Attempt.Seen.UNSEEN && !a.recovered()) {
      m.hearing.obeyed();
    }
    if (before != seen && seen == Attempt.Seen.RUNNING) {
      if (!a.recovered()) {
        metrics.started(now.secondsSince(a.openedAt()));
      }
    }
  }

  /**
   * The worker does not show an open attempt. That proves it gone only if no start of it can still
   * arrive: an earlier leader's can't once the worker has seen this term; an own one can't once the
   * worker has shown it, or if it went out in an answer alone and a later report has come.
   */
  private void absent(Machine m, Attempt a, WorkerReport r, boolean isReport) {
    if (!a.durable()) {
      return;
    }
    if (a.recovered()) {
      if (r.token().compareTo(authority.term()) >= 0) {
        close(a, false, "never arrived or is gone");
      }
      return;
    }
    if (a.seen() != Attempt.Seen.UNSEEN) {
      close(a, false, "vanished");
      return;
    }
    boolean answerSettled = a.startAnswered() < 0 || (isReport && r.sequence() > a.startAnswered());
    if (!a.stopping() && isReport && a.startAnswered() >= 0 && answerSettled) {
      missedStart = true;
    }
    if (a.stopping() && answerSettled && m.strayStarts.getInt(Machine.key(a)) == 0) {
      close(a, false, "stopped before it started");
    }
  }

  private void ended(Machine m, Attempt a, TaskReport t, SteadyTime now) {
    Job job = a.job();
    EndReason why = t.why();
    if (LOG.isDebugEnabled()) {
      LOG.debug("{} attempt {} on {} ended: {}", a.task(), a.number(), m.id, why);
    }
    switch (why) {
      case DONE -> {
        m.errorsInARow = 0;
        m.errorJobs.clear();
        troubles.remove(job.spec().id());
      }
      case ERROR -> failed(m, job, now);
      case NO_ROOM -> m.noRoomUntil = now.plusSeconds(5);
      case UNKNOWN -> trouble(job).until = now.plusSeconds(3);
      default -> {}
    }
    if (a.seen() == Attempt.Seen.RUNNING && why != EndReason.ERROR) {
      m.hasImage(job.spec().image(), job.spec().imageGb(), cacheOf(m));
    }
    close(a, why == EndReason.DONE, why.word());
  }

  private double cacheOf(Machine m) {
    Flavor f = flavors.get(m.type);
    return f == null ? Double.MAX_VALUE : f.cacheGb();
  }

  private Trouble trouble(Job job) {
    return troubles.computeIfAbsent(job.spec().id(), k -> new Trouble());
  }

  /**
   * A task failed by itself. A machine is taken for sick when tasks fail on it in a row, not when
   * one job fails everywhere: such a job is put off for longer and longer and counts once.
   */
  private void failed(Machine m, Job job, SteadyTime now) {
    Trouble t = trouble(job);
    t.machines.add(m.id);
    if (t.machines.size() >= 3) {
      t.until = now.plusSeconds(Math.min(60, 2 * Math.pow(2, t.machines.size() - 3)));
      return;
    }
    m.errorsInARow++;
    m.errorJobs.add(job.spec().id());
    if (m.errorsInARow >= 2 && !m.sick(now)) {
      m.sickUntil = now.plusSeconds(600);
      LOG.info("machine {} fails its tasks and is set aside", m.id);
    }
  }

  private void noticed(Machine m, double seconds) {
    LOG.info("machine {} will be taken in {} s", m.id, seconds);
    for (Attempt a : List.copyOf(ledger.attemptsOn(m.id))) {
      JobSpec spec = a.job().spec();
      if (spec.isService()) {
        stopAttempt(a, 0);
      } else if (spec.checkpointS() > 0 && spec.saveS() > 0) {
        stopWithGrace(a, spec.saveS() + 1);
      }
    }
  }

  // ---- attempts -------------------------------------------------------------------------------

  private void close(Attempt a, boolean done, String why) {
    Job job = a.job();
    if (job.open(a.task().index()) != a) {
      return;
    }
    ledger.close(a, done);
    Machine m = machines.get(a.machine());
    if (m != null) {
      m.view = null;
    }
    if (m != null && ledger.attemptsOn(m.id).isEmpty()) {
      m.idleSince = clock.now();
    }
    LOG.debug("closed {} attempt {} on {}: {}", a.task(), a.number(), a.machine(), why);
    if (!done && job.spec().isGang() && !job.cancelled()) {
      // A gang that lost a task ends as a whole, unless it is saving in good order.
      for (Attempt other : List.copyOf(job.openAttempts())) {
        if (!other.stopping()) {
          stopAttempt(other, 0);
        }
      }
    }
    writer.pump();
    askRound();
  }

  private void stopAttempt(Attempt a, double graceS) {
    if (a.stopping() && a.stopGraceS() <= graceS) {
      return;
    }
    a.stop(graceS, clock.now());
    Machine m = machines.get(a.machine());
    if (m != null) {
      m.view = null;
    }
    if (m != null && a.seen() != Attempt.Seen.UNSEEN) {
      m.outbox.add(new Command(Command.Op.STOP, a.task(), a.number(), graceS));
      order(m);
    }
  }

  /** Stops an attempt, and with it its gang, so that progress is saved. */
  private void stopWithGrace(Attempt a, double graceS) {
    if (a.job().spec().isGang()) {
      for (Attempt other : List.copyOf(a.job().openAttempts())) {
        stopAttempt(other, graceS);
      }
    } else {
      stopAttempt(a, graceS);
    }
  }

  /** Attempts that were never sent are gone as soon as they are unwanted. */
  private void settleUnsent(Job job) {
    for (Attempt a : List.copyOf(job.openAttempts())) {
      if (a.stopping() && unsent(a)) {
        close(a, false, "never sent");
      }
    }
  }

  private boolean unsent(Attempt a) {
    Machine m = machines.get(a.machine());
    return !a.recovered()
        && a.seen() == Attempt.Seen.UNSEEN
        && a.startAnswered() < 0
        && (m == null || m.strayStarts.getInt(Machine.key(a)) == 0);
  }

  /** The state service holds these attempts: their starts may go out. */
  private void nowDurable(List<Attempt> attempts) {
    answerCancels();
    Set<Machine> touched = new LinkedHashSet<>();
    for (Attempt a : attempts) {
      Machine m = machines.get(a.machine());
      if (m == null || !a.session().equals(m.session)) {
        continue;
      }
      if (a.stopping() || a.job().cancelled()) {
        a.stop(0, clock.now());
        m.view = null;
        if (unsent(a)) {
          close(a, false, "never sent");
        }
        continue;
      }
      m.outbox.add(new Command(Command.Op.START, a.task(), a.number(), 0));
      touched.add(m);
    }
    touched.forEach(this::order);
  }

  /** Sends what waits for a machine, one order at a time so that orders keep their sequence. */
  private void order(Machine m) {
    SteadyTime now = clock.now();
    if (m.orderInFlight || m.outbox.isEmpty()) {
      return;
    }
    if (!authority.valid() || m.endpoint == null || m.gone) {
      m.outbox.clear();
      return;
    }
    if (m.directAfter != null && now.isBefore(m.directAfter)) {
      // The machine did not answer lately; its next report's answer carries the commands.
      m.outbox.clear();
      return;
    }
    List<Command> commands = new ArrayList<>();
    while (!m.outbox.isEmpty() && commands.size() < MAX_COMMANDS) {
      Command c = m.outbox.poll();
      if (c.op() == Command.Op.START) {
        Attempt a = openAttempt(c);
        if (a == null || a.stopping() || !a.durable() || !a.session().equals(m.session)) {
          continue;
        }
        m.strayStarts.addTo(Machine.key(c), 1);
      }
      commands.add(c);
    }
    if (commands.isEmpty()) {
      return;
    }
    m.orderInFlight = true;
    Session session = m.session;
    SteadyTime sent = now;
    workers
        .order(m.endpoint, authority.term(), session, commands)
        .whenComplete((o, e) -> locked(() -> ordered(m, session, commands, o, sent)));
  }

  private Attempt openAttempt(Command c) {
    Job job = ledger.job(c.task().job());
    Attempt a = job == null ? null : job.open(c.task().index());
    return a != null && a.number().equals(c.attempt()) ? a : null;
  }

  private void ordered(
      Machine m,
      Session session,
      List<Command> commands,
      Outcome<Workers.Answer> outcome,
      SteadyTime sent) {
    m.orderInFlight = false;
    SteadyTime now = clock.now();
    if (outcome instanceof Outcome.Applied<Workers.Answer> applied) {
      WorkerReport r = applied.value().report();
      if (r.token().compareTo(authority.term()) > 0) {
        authority.lost("a worker has seen term " + r.token());
        return;
      }
      settleStrays(m, session, commands);
      m.hearing.heard();
      metrics.ordered(now.secondsSince(sent));
      take(m, r, false, now);
    } else if (outcome instanceof Outcome.NotApplied<Workers.Answer> not
        && not.reason() == Reason.NO_CONNECTION) {
      settleStrays(m, session, commands);
      m.directAfter = now.plusSeconds(settings.workers().reportS());
    } else {
      // The order may yet arrive: its starts stay strays until the session ends.
      m.directAfter = now.plusSeconds(settings.workers().reportS());
    }
    order(m);
  }

  private void settleStrays(Machine m, Session session, List<Command> commands) {
    if (!session.equals(m.session)) {
      return;
    }
    for (Command c : commands) {
      if (c.op() == Command.Op.START) {
        String key = Machine.key(c);
        if (m.strayStarts.addTo(key, -1) <= 1) {
          m.strayStarts.removeInt(key);
        }
      }
    }
  }

  /** What a worker is to do, by its newest report. */
  private List<Command> commands(Machine m, WorkerReport r, SteadyTime now) {
    List<Command> out = new ArrayList<>();
    for (TaskReport t : r.tasks()) {
      Job job = ledger.job(t.task().job());
      Attempt open = job == null ? null : job.open(t.task().index());
      boolean known =
          open != null && open.number().equals(t.attempt()) && open.machine().equals(m.id);
      if (known) {
        continue;
      }
      if (!t.ended()) {
        // Not in the ledger, so nobody may have it run.
        out.add(new Command(Command.Op.STOP, t.task(), t.attempt(), 0));
      } else if ((job == null || job.recorded(t.task().index()))
          && m.strayStarts.getInt(Machine.key(t)) == 0) {
        // Only now: after this the worker forgets the attempt, and a repeated start would run it.
        out.add(new Command(Command.Op.FORGET, t.task(), t.attempt(), 0));
      }
    }
    for (Attempt a : ledger.attemptsOn(m.id)) {
      if (!a.session().equals(r.session()) || out.size() >= MAX_COMMANDS) {
        continue;
      }
      if (a.stopping()) {
        if (a.seen() != Attempt.Seen.UNSEEN) {
          double left = Math.max(0, a.stopGraceS() - now.secondsSince(a.stopAt()));
          if (a.seen() != Attempt.Seen.SAVING) {
            out.add(new Command(Command.Op.STOP, a.task(), a.number(), a.stopGraceS()));
          } else if (left == 0 && a.stopGraceS() == 0) {
            out.add(new Command(Command.Op.STOP, a.task(), a.number(), 0));
          }
        }
      } else if (a.seen() == Attempt.Seen.UNSEEN && a.durable() && !a.recovered()) {
        a.startAnswered(r.sequence());
        out.add(new Command(Command.Op.START, a.task(), a.number(), 0));
      }
    }
    return out;
  }

  // ---- rounds ---------------------------------------------------------------------------------

  private void watch() {
    if (authority.valid()) {
      expire(clock.now());
    }
    later(WATCH_S, this::watch);
  }

  private void tick() {
    askRound();
    if (LOG.isDebugEnabled() && clock.now().secondsSince(described) >= DESCRIBE_S) {
      described = clock.now();
      machines.values().forEach(this::describe);
    }
    later(tuning.roundS(), this::tick);
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

  void askRound() {
    if (roundAsked || !ready || stopped) {
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
      if (stopped || roundRunning) {
        return;
      }
      lastRound = clock.now();
      if (!authority.valid() || flavors.isEmpty()) {
        return;
      }
      roundRunning = true;
      snapshot = views.snapshot(machines.values(), arrivals, rentals, electedAt, lastRound);
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
      if (!stopped && plan != null && authority.valid()) {
        apply(plan);
      }
      SteadyTime now = clock.now();
      roundTookS = now.secondsSince(lastRound);
      metrics.round(roundTookS, plan == null ? 0 : plan.steps());
    } finally {
      lock.unlock();
    }
  }

  /** Leases that have run out, and machines and reservations whose time is over. */
  private void expire(SteadyTime now) {
    boolean fence = false;
    for (Machine m : List.copyOf(machines.values())) {
      if (!m.kept.isEmpty() && m.kept.removeIf(k -> k.until().isBefore(now))) {
        m.view = null;
        askRound();
      }
      if (m.endpoint != null && !m.orderInFlight && m.hearing.callNow(now)) {
        call(m, now);
      }
      Collection<Attempt> there = ledger.attemptsOn(m.id);
      if (there.isEmpty()) {
        continue;
      }
      if (m.leaseEnds.isBefore(now)) {
        leaseOver(m, List.copyOf(there));
        continue;
      }
      List<Attempt> stopping = null;
      for (Attempt a : there) {
        if (a.stopping()) {
          stopping = stopping == null ? new ArrayList<>() : stopping;
          stopping.add(a);
        }
      }
      if (stopping != null) {
        for (Attempt a : stopping) {
          stopLate(m, a, now);
          fence |= needsFence(m, a, now);
        }
      }
    }
    if (fence) {
      raiseTerm(now);
    }
    rentals.expire(now, returns);
  }

  /** Asks a machine that seems deaf for a sign; an order of nothing is answered with a report. */
  private void call(Machine m, SteadyTime now) {
    m.orderInFlight = true;
    Session session = m.session;
    workers
        .order(m.endpoint, authority.term(), session, List.of())
        .whenComplete((o, e) -> locked(() -> ordered(m, session, List.of(), o, now)));
  }

  /** The worker has killed what it ran; nothing that it showed before is there any more. */
  private void leaseOver(Machine m, List<Attempt> there) {
    LOG.info("machine {} has been silent past its lease", m.id);
    Session last = m.session;
    for (Attempt a : there) {
      if (a.session().compareTo(last) > 0) {
        last = a.session();
      }
      close(a, false, "lease over");
    }
    m.deadSession = last;
    m.forgetStrays();
    m.outbox.clear();
    // Otherwise its tasks would count as still shown, and could not start elsewhere.
    show(m, List.of());
  }

  /**
   * An attempt is to stop, but a start of it whose answer was lost may still arrive, even minutes
   * late. Raising the own term makes the worker refuse it.
   */
  private boolean needsFence(Machine m, Attempt a, SteadyTime now) {
    return a.stopping()
        && a.seen() == Attempt.Seen.UNSEEN
        && now.secondsSince(a.stopAt()) > FENCE_AFTER_S
        && m.strayStarts.getInt(Machine.key(a)) > 0
        && m.fencedStrays.getInt(Machine.key(a)) == 0;
  }

  private void raiseTerm(SteadyTime now) {
    if (raising || (fencedAt != null && now.secondsSince(fencedAt) < FENCE_PAUSE_S)) {
      return;
    }
    raising = true;
    fencedAt = now;
    writer.raiseTerm(
        () -> {
          raising = false;
          LOG.info("raised the term to {} against stray starts", authority.term());
          machines.values().forEach(m -> m.fenceStrays(authority.term()));
        });
  }

  /** A stop that is not obeyed in time is repeated without grace. */
  private void stopLate(Machine m, Attempt a, SteadyTime now) {
    if (a.stopping()
        && a.stopGraceS() > 0
        && now.secondsSince(a.stopAt())
            > a.stopGraceS() + settings.workers().gangPeerS() + settings.workers().reportS()) {
      stopAttempt(a, 0);
    }
  }

  /** Whether a machine shows a task which, having no open attempt, should be nowhere. */
  private boolean ghost(TaskId task) {
    return shown.containsKey(task);
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
        Machine m = machines.get(p.machines().get(i));
        // One task that still shows somewhere must not keep the rest of its array waiting.
        boolean waits = !job.spec().isGang() && ghost(new TaskId(p.job(), p.tasks().get(i)));
        if (m != null && !waits && views.placeable(m, now)) {
          Site site =
              new Site(
                  m.id,
                  m.session,
                  m.type,
                  m.zone,
                  m.zoneName,
                  m.spot,
                  flavors.get(m.type).capacity());
          placements.add(new Ledger.Placement(p.tasks().get(i), site));
        }
      }
      String against =
          placements.isEmpty() ? "no machine" : ledger.open(job, placements, this::ghost, now);
      if (against != null) {
        LOG.debug("{} not placed: {}", p.job(), against);
        continue;
      }
      if (LOG.isDebugEnabled()) {
        LOG.debug("{} {} goes to {}", p.job(), job.spec().jobClass(), p.machines());
      }
      for (Ledger.Placement placed : placements) {
        Machine m = machines.get(placed.site().machine());
        m.view = null;
        dropReservation(m, p.job());
        Flavor f = flavors.get(m.type);
        m.hasImage(job.spec().image(), job.spec().imageGb(), f.cacheGb());
      }
    }
    for (Plan.Stop s : plan.stops()) {
      Machine m = machines.get(s.machine());
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
          stopWithGrace(a, grace);
          if (unsent(a)) {
            close(a, false, "never sent");
          }
        }
      }
    }
    writer.pump();
    for (Plan.Rent r : plan.rents()) {
      rentals.rent(r);
    }
    for (MachineId id : plan.releases()) {
      Machine m = machines.get(id);
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

  // ---- the cloud's list -----------------------------------------------------------------------

  private final List<HostInfo> listing = new ArrayList<>();
  private SteadyTime listingSince;

  private void list() {
    listing.clear();
    listingSince = clock.now();
    page(null);
  }

  private void page(MachineId after) {
    cloud
        .list(after, 500)
        .whenComplete(
            (o, e) ->
                locked(
                    () -> {
                      if (o instanceof Outcome.Applied<HostInfo.Page> applied) {
                        HostInfo.Page p = applied.value();
                        listing.addAll(p.hosts());
                        if (p.more() && !p.hosts().isEmpty()) {
                          page(p.hosts().get(p.hosts().size() - 1).machine());
                          return;
                        }
                        listed();
                      }
                      later(settings.cloudLimits().listLagS() / 2, this::list);
                    }));
  }

  private void listed() {
    SteadyTime now = clock.now();
    Set<MachineId> shown = new HashSet<>();
    // Most workers find their way by themselves; those that have not after a while are told, few
    // at a time, since a new leader has better things to do than to call hundreds of machines.
    boolean soon = now.secondsSince(electedAt) < 2 * settings.workers().reportS();
    int greets = soon ? 0 : MOST_GREETS;
    for (HostInfo h : listing) {
      shown.add(h.machine());
      if (returned.contains(h.machine())) {
        continue;
      }
      Machine m = machines.get(h.machine());
      if (m == null) {
        m = machine(h.machine(), now);
      }
      if (m.type == null) {
        m.type = h.type();
        m.zoneName = h.zone();
        m.zone = settings.zones().indexOf(h.zone());
        m.spot = h.spot();
      }
      if (m.listedAt == null) {
        m.rentedAt = now.plusSeconds(-h.ageS());
        m.view = null;
      }
      if (!m.greeted && greets > 0 && greet(m, h)) {
        m.greeted = true;
        greets--;
      }
      m.listedAt = now;
      m.listedUp = h.state() == HostInfo.State.RUNNING;
      rentals.seen(m.id);
      if (h.state() == HostInfo.State.FAILED && !m.gone) {
        LOG.info("machine {} has failed", m.id);
        lost(m, "machine failed");
        if (!m.releasing) {
          returns.release(m);
        }
      }
    }
    // A machine stays listed until it is gone, and no list is older than twice the lag: one that
    // was listed earlier than that and is missing now has been taken.
    double oldest = 2 * settings.cloudLimits().listLagS() * (1 + DRIFT) + tuning.marginS();
    for (Machine m : List.copyOf(machines.values())) {
      if (m.listedAt != null
          && !shown.contains(m.id)
          && listingSince.secondsSince(m.listedAt) > oldest) {
        LOG.info("machine {} is no longer listed", m.id);
        lost(m, "machine taken");
        drop(m);
      }
    }
    rentals.listed(shown, now);
    askRound();
  }

  /**
   * Tells a worker that has not reported yet of this term. It may still report to an earlier leader
   * that is cut off from everything else; having seen this term it turns away from it.
   */
  private boolean greet(Machine m, HostInfo h) {
    if (m.reported || h.state() != HostInfo.State.RUNNING || h.endpoint() == null) {
      return false;
    }
    Endpoint endpoint;
    try {
      endpoint = Endpoint.parse(h.endpoint());
    } catch (IllegalArgumentException e) {
      LOG.warn("machine {} is listed without a usable endpoint", m.id);
      return false;
    }
    greet(m, endpoint, m.session, 2);
    return true;
  }

  private void greet(Machine m, Endpoint endpoint, Session session, int tries) {
    if (!authority.valid()) {
      return;
    }
    workers
        .order(endpoint, authority.term(), session, List.of())
        .whenComplete(
            (o, e) ->
                locked(
                    () -> {
                      if (!(o instanceof Outcome.Applied<Workers.Answer> applied)) {
                        return;
                      }
                      WorkerReport r = applied.value().report();
                      take(m, r, false, clock.now());
                      if (applied.value() instanceof Workers.Answer.Refused
                          && r.token().compareTo(authority.term()) <= 0
                          && tries > 1) {
                        greet(m, endpoint, r.session(), tries - 1);
                      }
                    }));
  }

  private void lost(Machine m, String why) {
    m.gone = true;
    show(m, List.of());
    for (Attempt a : List.copyOf(ledger.attemptsOn(m.id))) {
      close(a, false, why);
    }
  }

  /** A machine that is certainly gone; its name never comes back. */
  void drop(Machine m) {
    m.gone = true;
    show(m, List.of());
    for (Attempt a : List.copyOf(ledger.attemptsOn(m.id))) {
      close(a, false, "machine gone");
    }
    machines.remove(m.id);
    returned.add(m.id);
    if (m.endpoint != null) {
      workers.forget(m.endpoint);
    }
  }

  void learn(List<Flavor> known) {
    known.forEach(f -> flavors.put(f.name(), f));
    askRound();
  }

  private void refreshFlavors() {
    cloud
        .flavors()
        .whenComplete(
            (o, e) ->
                locked(
                    () -> {
                      if (o instanceof Outcome.Applied<List<Flavor>> applied) {
                        applied.value().forEach(f -> flavors.put(f.name(), f));
                        later(60, this::refreshFlavors);
                      } else {
                        later(3, this::refreshFlavors);
                      }
                    }));
  }

  boolean idle(Machine m) {
    return ledger.attemptsOn(m.id).isEmpty();
  }

  Settings settings() {
    return settings;
  }

  /** A machine from before this leadership gets as long to report as one that boots. */
  SteadyTime electedAt() {
    return electedAt;
  }
}
