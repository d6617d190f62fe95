package org.ternhinge.failover;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.config.Settings;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.TaskFailures;
import org.ternhinge.machine.ZoneMachineCounts;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.schedule.Plan;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.zone.PlacementFacts;
import org.ternhinge.zone.ZoneEvent;
import org.ternhinge.zone.ZoneFailover;
import org.ternhinge.zone.ZoneObservation;
import org.ternhinge.zone.ZoneRecord;

/**
 * Connects a leadership to the decisions of {@link ZoneFailover}: shows it machines and jobs, logs
 * what it decides, and keeps its record in the key-value store. Guarded by the controller's lock,
 * but for {@link #filter}.
 */
final class ZoneCoordinator implements ZoneControl {
  private static final Logger LOG = LoggerFactory.getLogger(ZoneCoordinator.class);

  /** Heartbeats that a worker may owe a new leader before it counts as impaired. */
  private static final double FIRST_HEARTBEATS_AWAITED = 4;

  /** Seconds for which nothing is placed while the record is still being read. */
  private static final double RECORD_AWAITED_S = 2;

  /** Seconds until the record is read again after that has failed. */
  private static final double READ_RETRY_S = 1;

  /** Seconds between two lines of metrics. */
  private static final double METRICS_INTERVAL_S = 60;

  private final LeadershipContext context;
  private final Settings settings;
  private final Clock clock;
  private final Ledger ledger;
  private final MachineRegistry machines;
  private final TaskFailures failures;
  private final ZoneFailover failover;
  private final PlacementFacts facts = new Facts();

  /** Whether the record's version is known: without it a write of it would be a conflict. */
  private boolean recordKnown;

  private boolean recordDue;
  private SteadyTime recordAwaitedUntil;
  private SteadyTime metricsLogged;

  ZoneCoordinator(
      LeadershipContext context,
      MachineRegistry machines,
      TaskFailures failures,
      ZoneFailoverSettings failoverSettings) {
    this.context = context;
    this.settings = context.services().settings();
    this.clock = context.services().clock();
    this.ledger = context.ledger();
    this.machines = machines;
    this.failures = failures;
    this.metricsLogged = clock.now();
    this.failover =
        new ZoneFailover(
            failoverSettings.forHeartbeats(settings.workers().overdueS()),
            settings.zones(),
            settings.workers().leaseS(),
            settings.storeLimits().writeRps(),
            metricsLogged);
  }

  // ---- record -----------------------------------------------------------------------------------

  @Override
  public void recover() {
    recordAwaitedUntil = clock.now().plusSeconds(RECORD_AWAITED_S);
    readRecord();
  }

  private void readRecord() {
    context
        .executor()
        .whenAnswered(
            context.services().store().get(ZoneRecord.KEY, RequestPriority.ATTEMPT),
            this::recordRead);
  }

  private void recordRead(Outcome<KeyValueStore.Read> outcome) {
    if (!(outcome instanceof Outcome.Applied<KeyValueStore.Read> read)) {
      context.executor().later(READ_RETRY_S, this::readRecord);
      return;
    }
    Optional<Entry> entry = read.value().entry();
    entry.ifPresent(
        found -> {
          context.writer().known(found.key(), found.revision());
          failover.adopt(found.value(), clock.now(), clock.wallMillis());
          recoverDisplacedTasks();
        });
    recordKnown = true;
    writeRecordIfDue();
  }

  /**
   * Tasks whose attempts an earlier leader has closed and that have none now: what was displaced
   * from a lost zone then. Which tasks these were is not recorded, so of a job that had begun all
   * count that a round could start.
   */
  private void recoverDisplacedTasks() {
    SteadyTime now = clock.now();
    for (Map.Entry<String, SteadyTime> lost : failover.lostSince().entrySet()) {
      long lostMillis = clock.wallMillis() - (long) (now.secondsSince(lost.getValue()) * 1000);
      for (Job job : ledger.jobs()) {
        if (job.highest().value() > 0 && !isOver(job) && job.acceptedMillis() < lostMillis) {
          displaceWaitingTasks(job, lost.getKey(), now);
        }
      }
    }
  }

  private void displaceWaitingTasks(Job job, String zone, SteadyTime now) {
    int task = job.nextWaiting(0);
    for (int i = 0; i < Snapshot.JobView.MAX_PENDING && task >= 0; i++) {
      failover.attemptLost(job.planned(), task, 0, zone, now);
      task = job.nextWaiting(task + 1);
    }
  }

  private void writeRecordIfDue() {
    if (recordKnown && recordDue) {
      recordDue = false;
      context
          .writer()
          .write(ZoneRecord.KEY, () -> failover.record(clock.now(), clock.wallMillis()), null);
    }
  }

  // ---- observations -----------------------------------------------------------------------------

  @Override
  public void check(SteadyTime now) {
    List<ZoneEvent> events = failover.observe(new Observed(now), now);
    log(events);
    for (ZoneEvent event : events) {
      if (event instanceof ZoneEvent.StateChanged) {
        recordDue = true;
      }
    }
    writeRecordIfDue();
    if (!events.isEmpty()) {
      context.rounds().requestRound();
    }
    logMetricsIfDue(now);
  }

  private void log(List<ZoneEvent> events) {
    if (LOG.isInfoEnabled()) {
      long millis = clock.wallMillis();
      events.forEach(
          event -> LOG.info("{} term={} at={}", event.line(), context.authority().term(), millis));
    }
  }

  private void logMetricsIfDue(SteadyTime now) {
    if (now.secondsSince(metricsLogged) >= METRICS_INTERVAL_S) {
      metricsLogged = now;
      failover
          .metrics()
          .lines()
          .forEach((tier, line) -> LOG.info("lost to moved ms, tier {}: {}", tier, line));
    }
  }

  /** What is seen at one time. */
  private final class Observed implements ZoneFailover.Observations {
    private final SteadyTime now;

    Observed(SteadyTime now) {
      this.now = now;
    }

    @Override
    public List<ZoneObservation> zones() {
      List<ZoneMachineCounts.Count> known = machineCounts(this::isExpected, this::isImpaired);
      List<ZoneMachineCounts.Count> unheard = machineCounts(this::isUnheard, this::isUnheard);
      List<ZoneObservation> zones = new ArrayList<>();
      for (int zone = 0; zone < known.size(); zone++) {
        ZoneMachineCounts.Count count = known.get(zone);
        zones.add(
            new ZoneObservation(count.counted(), count.marked(), unheard.get(zone).counted()));
      }
      return zones;
    }

    private List<ZoneMachineCounts.Count> machineCounts(
        Predicate<Machine> isCounted, Predicate<Machine> isMarked) {
      return ZoneMachineCounts.of(
          machines.all(),
          settings.zones().size(),
          ZoneCoordinator.this::zoneOf,
          isCounted,
          isMarked);
    }

    /** Whether a machine should report: one that the cloud takes away soon may fall silent. */
    private boolean isExpected(Machine machine) {
      return stays(machine)
          && (machine.agent().isHeard() || (isFirstHeartbeatOverdue() && isInUse(machine)));
    }

    /** Whether a machine is up by all that is known and has not found this leader yet. */
    private boolean isUnheard(Machine machine) {
      return stays(machine)
          && !machine.agent().isHeard()
          && !isFirstHeartbeatOverdue()
          && isInUse(machine);
    }

    private boolean isInUse(Machine machine) {
      return machine.cloud().isListedRunning() || !ledger.attemptsOn(machine.id()).isEmpty();
    }

    private static boolean stays(Machine machine) {
      return machine.cloud().isStaying();
    }

    private boolean isFirstHeartbeatOverdue() {
      double awaitedS = FIRST_HEARTBEATS_AWAITED * settings.workers().heartbeatIntervalS();
      return now.secondsSince(context.electedAt()) > awaitedS;
    }

    private boolean isImpaired(Machine machine) {
      return !machine.agent().isHeard()
          || machine.agent().isOverdue(settings.workers(), now)
          || machine.health().reachability().unreachable();
    }

    @Override
    public Set<Integer> openTiers(String zone) {
      int index = settings.zones().indexOf(zone);
      Set<Integer> tiers = new HashSet<>();
      for (Machine machine : machines.all()) {
        if (zoneOf(machine) == index && isImpaired(machine)) {
          for (Attempt attempt : ledger.attemptsOn(machine.id())) {
            tiers.add(failover.tierOf(attempt.job().planned()));
          }
        }
      }
      return tiers;
    }

    @Override
    public Fate fate(JobId id, int task) {
      Job job = ledger.job(id);
      if (job == null || isOver(job) || job.isDone(task)) {
        return Fate.OVER;
      }
      return job.open(task) == null ? Fate.WAITING : Fate.PLACED;
    }

    @Override
    public boolean isPlaceable(JobId id) {
      Job job = ledger.job(id);
      return job != null && !job.hasUnmetDependencies() && !failures.isBlocked(job, now);
    }
  }

  private static boolean isOver(Job job) {
    return job.cancelled() || job.over();
  }

  /** A machine's zone: its own word or the cloud's, else that of the attempts opened there. */
  private int zoneOf(Machine machine) {
    if (machine.description().zone() >= 0) {
      return machine.description().zone();
    }
    Collection<Attempt> open = ledger.attemptsOn(machine.id());
    return open.isEmpty() ? -1 : open.iterator().next().zone();
  }

  // ---- attempts and plans -----------------------------------------------------------------------

  @Override
  public void attemptClosed(Attempt attempt, boolean done) {
    Job job = attempt.job();
    if (done || isOver(job) || attempt.zone() < 0 || attempt.zone() >= settings.zones().size()) {
      return;
    }
    failover.attemptLost(
        job.planned(),
        attempt.task().index(),
        attempt.number().value(),
        settings.zones().get(attempt.zone()),
        clock.now());
  }

  @Override
  public Snapshot filter(Snapshot full) {
    return failover.filter(full);
  }

  @Override
  public Plan limit(Plan plan) {
    if (!recordKnown && clock.now().isBefore(recordAwaitedUntil)) {
      // What is held back may not be known yet, and would be started out of its order.
      return new Plan();
    }
    List<ZoneEvent> events = new ArrayList<>();
    Plan limited = failover.limit(plan, facts, events, clock.now());
    log(events);
    return limited;
  }

  /** What is known of a plan's machines and jobs. */
  private final class Facts implements PlacementFacts {
    @Override
    public String zoneOf(MachineId id) {
      Machine machine = machines.find(id);
      return machine == null ? null : machine.description().zoneName();
    }

    @Override
    public boolean isGang(JobId id) {
      Job job = ledger.job(id);
      return job != null && job.spec().isGang();
    }
  }
}
