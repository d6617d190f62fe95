package org.ternhinge.zone;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.JobId;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.TaskRanges;
import org.ternhinge.schedule.Plan;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.zone.ZoneEvent.WorkStep;

/**
 * All decisions about zones of one leadership, from what it observes. Guarded by the controller's
 * lock, but for {@link #current()} and {@link #filter}, which any thread may use.
 */
public final class ZoneFailover {
  /** What a leadership observes at one time. */
  public interface Observations extends DisplacedWork {
    /** The machines of each zone, in the order in which the zones were named. */
    List<ZoneObservation> zones();

    /** Tiers of attempts that are still open in a zone on machines that are impaired. */
    Set<Integer> openTiers(String zone);
  }

  /** Seconds between two lines about a job that still waits. */
  private static final double WAIT_LOG_S = 30;

  /** Of the fleet, how many idle machines a second may be returned while a zone is coming back. */
  private static final double RELEASE_SHARE = 0.02;

  private final ZoneFailoverSettings settings;
  private final FailoverOrder order;
  private final FleetAssessment assessment;
  private final FailoverQueue queue;
  private final ReturnPacer pacer;
  private final ZoneSnapshotReference current = new ZoneSnapshotReference();
  private final FailoverMetrics metrics = new FailoverMetrics();
  private final List<String> names;
  private List<ZoneHealth> zones;
  private List<ZoneObservation> seen;
  private RateBudget releases;
  private final Map<JobId, SteadyTime> waitLogged = new HashMap<>();

  /** What was displaced since the last look, for the log. */
  private final Map<JobId, NewlyDisplaced> newlyDisplaced = new LinkedHashMap<>();

  /**
   * Creates a leadership's view, with all zones available.
   *
   * @param names of the zones
   * @param leaseS a worker's lease
   * @param leastRate tasks a second that may be released at least
   */
  public ZoneFailover(
      ZoneFailoverSettings settings,
      List<String> names,
      double leaseS,
      double leastRate,
      SteadyTime now) {
    this.settings = settings;
    this.order = new FailoverOrder(settings.tiers());
    this.assessment = new FleetAssessment(settings, leaseS);
    this.queue = new FailoverQueue(settings.release(), order, leastRate, now);
    this.pacer = new ReturnPacer(settings.pace());
    this.names = List.copyOf(names);
    this.zones = new ArrayList<>();
    this.seen = new ArrayList<>();
    this.releases = RateBudget.starting(now);
    for (int i = 0; i < names.size(); i++) {
      zones.add(ZoneHealth.available(now));
      seen.add(new ZoneObservation(0, 0));
    }
  }

  /** The zones as any thread may read them. */
  public ZoneSnapshotReference current() {
    return current;
  }

  /** How long moved tasks have waited, by tier. */
  public FailoverMetrics metrics() {
    return metrics;
  }

  /** The tier of a job. */
  public int tierOf(JobSpec job) {
    return order.tierOf(job);
  }

  // ---- record -----------------------------------------------------------------------------------

  /** The zones as a record for the next leader. */
  public ObjectNode record(SteadyTime now, long wallMillis) {
    Map<String, ZoneHealth> byName = new LinkedHashMap<>();
    for (int i = 0; i < names.size(); i++) {
      byName.put(names.get(i), zones.get(i));
    }
    return ZoneRecord.write(byName, now, wallMillis);
  }

  /** Takes over what an earlier leader has recorded; names that are no zones are ignored. */
  public void adopt(JsonNode record, SteadyTime now, long wallMillis) {
    Map<String, ZoneHealth> recorded = ZoneRecord.read(record, now, wallMillis);
    for (int i = 0; i < names.size(); i++) {
      ZoneHealth health = recorded.get(names.get(i));
      if (health != null) {
        zones.set(i, health);
      }
    }
    publish(now);
  }

  /** The zones that take no new work or little of it, with the time since when. */
  public Map<String, SteadyTime> lostSince() {
    Map<String, SteadyTime> lost = new LinkedHashMap<>();
    for (int i = 0; i < names.size(); i++) {
      ZoneState state = zones.get(i).state();
      if (state == ZoneState.UNAVAILABLE || state == ZoneState.RECOVERING) {
        lost.put(names.get(i), zones.get(i).since());
      }
    }
    return lost;
  }

  // ---- what happens -----------------------------------------------------------------------------

  /**
   * A task has lost its attempt. It is displaced where that was in a zone that is not available.
   */
  public void attemptLost(JobSpec job, int task, long attempt, String zone, SteadyTime now) {
    if (current.read().state(zone) == ZoneState.AVAILABLE) {
      return;
    }
    queue.displace(job, task, zone, now);
    newlyDisplaced
        .computeIfAbsent(job.id(), id -> new NewlyDisplaced(job, zone))
        .add(task, attempt);
    // Hundreds may be lost in one moment: only what has changed is published.
    current.update(present -> present.withHeld(job.id(), queue.held(job.id())));
  }

  /** Looks at everything; called every so often. Says what to log, state changes first. */
  public List<ZoneEvent> observe(Observations observed, SteadyTime now) {
    List<ZoneEvent> events = new ArrayList<>();
    seen = observed.zones();
    if (isIdle()) {
      // All is well and stays so: nothing is to be decided or published.
      return events;
    }
    List<ZoneHealth> before = zones;
    zones = assessment.next(before, seen, now);
    for (int i = 0; i < names.size(); i++) {
      if (before.get(i).state() != zones.get(i).state()) {
        events.add(stateChanged(i, before.get(i).state(), now));
      }
    }
    logNewlyDisplaced(events);
    if (!queue.isEmpty()) {
      settle(observed, events, now);
      release(observed, events, now);
      logWaits(observed, events, now);
    }
    publish(now);
    return events;
  }

  private boolean isIdle() {
    if (!queue.isEmpty() || !newlyDisplaced.isEmpty()) {
      return false;
    }
    for (int i = 0; i < zones.size(); i++) {
      if (zones.get(i).state() != ZoneState.AVAILABLE || seen.get(i).impaired() > 0) {
        return false;
      }
    }
    return true;
  }

  private ZoneEvent stateChanged(int zone, ZoneState from, SteadyTime now) {
    ZoneHealth health = zones.get(zone);
    return new ZoneEvent.StateChanged(
        names.get(zone),
        from,
        health.state(),
        seen.get(zone).impaired(),
        seen.get(zone).expected(),
        health.penalty().valueAt(now, settings.flaps()),
        health.suppressed());
  }

  private void logNewlyDisplaced(List<ZoneEvent> events) {
    newlyDisplaced
        .values()
        .forEach(displaced -> events.add(displaced.event(order.name(order.tierOf(displaced.job)))));
    newlyDisplaced.clear();
  }

  private void settle(DisplacedWork work, List<ZoneEvent> events, SteadyTime now) {
    for (FailoverQueue.Tasks placed : queue.settle(work)) {
      double waitedS = now.secondsSince(placed.job().since());
      metrics.moved(order.name(placed.job().tier()), waitedS, placed.tasks().size());
      events.add(workChanged(WorkStep.MOVED, placed, "placed", now));
    }
    waitLogged.keySet().retainAll(displacedJobs());
  }

  private void release(Observations observed, List<ZoneEvent> events, SteadyTime now) {
    int lowestOpenTier = order.size();
    for (String zone : lostSince().keySet()) {
      for (int tier : observed.openTiers(zone)) {
        lowestOpenTier = Math.min(lowestOpenTier, tier);
      }
    }
    for (FailoverQueue.Tasks released : queue.release(observed, lowestOpenTier, now)) {
      events.add(workChanged(WorkStep.RELEASED, released, "turn", now));
    }
  }

  /** Tasks of a job that was displaced together. */
  private static final class NewlyDisplaced {
    private final JobSpec job;
    private final String zone;
    private final BitSet tasks = new BitSet();
    private final BitSet attempts = new BitSet();

    NewlyDisplaced(JobSpec job, String zone) {
      this.job = job;
      this.zone = zone;
    }

    void add(int task, long attempt) {
      tasks.set(task);
      if (attempt > 0 && attempt < Integer.MAX_VALUE) {
        attempts.set((int) attempt);
      }
    }

    ZoneEvent event(String tier) {
      return new ZoneEvent.WorkChanged(
          WorkStep.DISPLACED,
          job.id().value(),
          TaskRanges.encode(tasks, 0, tasks.length()),
          TaskRanges.encode(attempts, 0, attempts.length()),
          tier,
          zone,
          0,
          "zone-lost");
    }
  }

  private Set<JobId> displacedJobs() {
    Set<JobId> jobs = new HashSet<>();
    queue.jobs().forEach(job -> jobs.add(job.spec().id()));
    return jobs;
  }

  private void logWaits(DisplacedWork work, List<ZoneEvent> events, SteadyTime now) {
    for (FailoverQueue.DisplacedJob job : queue.jobs()) {
      SteadyTime last = waitLogged.getOrDefault(job.spec().id(), job.since());
      if (now.secondsSince(last) >= WAIT_LOG_S) {
        waitLogged.put(job.spec().id(), now);
        FailoverQueue.Tasks all = new FailoverQueue.Tasks(job, job.held().plusAll(job.released()));
        events.add(workChanged(WorkStep.DELAYED, all, waitReason(job, work), now));
      }
    }
  }

  private static String waitReason(FailoverQueue.DisplacedJob job, DisplacedWork work) {
    if (job.pinned()) {
      return "pinned-to-zone";
    }
    if (!work.isPlaceable(job.spec().id())) {
      return "backs-off-or-depends";
    }
    return job.held().isEmpty() ? "no-room-or-limit" : "higher-tier-first";
  }

  private ZoneEvent workChanged(
      WorkStep step, FailoverQueue.Tasks tasks, String reason, SteadyTime now) {
    FailoverQueue.DisplacedJob job = tasks.job();
    return new ZoneEvent.WorkChanged(
        step,
        job.spec().id().value(),
        ranges(tasks.tasks()),
        "",
        order.name(job.tier()),
        job.zone(),
        now.secondsSince(job.since()),
        reason);
  }

  private static String ranges(PSet<Integer> tasks) {
    BitSet set = new BitSet();
    tasks.forEach(set::set);
    return TaskRanges.encode(set, 0, set.length());
  }

  private void publish(SteadyTime now) {
    PMap<String, ZoneStatus> status = HashTreePMap.empty();
    for (int i = 0; i < names.size(); i++) {
      status = status.plus(names.get(i), status(i, now));
    }
    ZoneSnapshot next = new ZoneSnapshot(status, queue.held());
    pacer.refill(next, now);
    current.update(unused -> next);
  }

  private ZoneStatus status(int zone, SteadyTime now) {
    ZoneHealth health = zones.get(zone);
    return new ZoneStatus(
        health.state(),
        seen.get(zone).expected(),
        seen.get(zone).impaired(),
        health.penalty().valueAt(now, settings.flaps()),
        health.step(),
        pacer.allows(names.get(zone)));
  }

  // ---- planning ---------------------------------------------------------------------------------

  /** What the planner is to see of a snapshot. */
  public Snapshot filter(Snapshot full) {
    return new SnapshotFilter(current.read()).filter(full);
  }

  /** What may be carried out of a plan; adds to the events what starts in returning zones. */
  public Plan limit(Plan plan, PlacementFacts facts, List<ZoneEvent> events, SteadyTime now) {
    ZoneSnapshot present = current.read();
    if (present.allAvailable()) {
      return plan;
    }
    pacer.refill(present, now);
    int fleet = 0;
    Set<String> paced = new HashSet<>();
    for (Map.Entry<String, ZoneStatus> zone : present.zones().entrySet()) {
      fleet += zone.getValue().expected();
      if (zone.getValue().state() == ZoneState.RECOVERING) {
        paced.add(zone.getKey());
      }
    }
    releases = releases.filled(Math.max(1, RELEASE_SHARE * fleet), now);
    PlanLimiter limiter = new PlanLimiter(pacer, facts);
    Plan limited = limiter.limited(plan, paced, (int) releases.tokens());
    releases = releases.less(limited.releases().size());
    limiter
        .startsByZone()
        .forEach(
            (zone, starts) ->
                events.add(
                    new ZoneEvent.ReturnStarts(zone, present.zones().get(zone).step(), starts)));
    publish(now);
    return limited;
  }
}
