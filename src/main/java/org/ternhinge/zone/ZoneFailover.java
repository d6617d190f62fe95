package org.ternhinge.zone;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.schedule.Plan;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.wire.JobSpec;

/**
 * All decisions of one leadership about the loss and return of zones. Guarded by the controller's
 * lock, but for {@link #filter}, which any thread may call.
 */
public final class ZoneFailover {
  /** What a leadership observes at one time. */
  public interface Observations extends DisplacedWork {
    /** The machines of each zone, in the order of the site's settings. */
    List<ZoneObservation> zones();

    /** Tiers of attempts that are still open in a zone on machines that are impaired. */
    Set<Integer> openTiers(String zone);
  }

  private final FailoverOrder order;
  private final ZoneTable zones;
  private final FailoverQueue queue;
  private final DisplacementLog displacements;
  private final ReturnPacer pacer;
  private final ReturnLimits limits;
  private final ZoneSnapshotReference current = new ZoneSnapshotReference();
  private final FailoverMetrics metrics = new FailoverMetrics();

  /**
   * Creates the failover of a new leadership, with all zones available.
   *
   * @param names names of the zones
   * @param leaseS duration of a worker's lease, in seconds
   * @param minReleaseRate lowest rate at which displaced tasks are released, a second
   */
  public ZoneFailover(
      ZoneFailoverSettings settings,
      List<String> names,
      double leaseS,
      double minReleaseRate,
      MonotonicTime now) {
    this.order = new FailoverOrder(settings.tiers());
    this.zones = new ZoneTable(settings, names, leaseS, now);
    this.queue = new FailoverQueue(settings.release(), order, minReleaseRate, now);
    this.displacements = new DisplacementLog(order);
    this.pacer = new ReturnPacer(settings.pace());
    this.limits = new ReturnLimits(pacer, now);
  }

  /** The zones as any thread may read them. */
  ZoneSnapshotReference current() {
    return current;
  }

  /** How long displaced tasks have waited for new attempts, by tier. */
  public FailoverMetrics metrics() {
    return metrics;
  }

  /** The tier of a job. */
  public int tierOf(JobSpec job) {
    return order.tierOf(job);
  }

  // ---- record -----------------------------------------------------------------------------------

  /** The zones as a record for the next leader. */
  public ObjectNode record(MonotonicTime now, long wallMillis) {
    return zones.record(now, wallMillis);
  }

  /** Restores the record of an earlier leader; names that are not zones are ignored. */
  public void restore(JsonNode record, MonotonicTime now, long wallMillis) {
    zones.restore(record, now, wallMillis);
    publish(now);
  }

  /** The zones that take no new work or only little of it, with the time since when. */
  public Map<String, MonotonicTime> lostSince() {
    return zones.lostSince();
  }

  // ---- observations -----------------------------------------------------------------------------

  /**
   * Records that a task has lost its attempt. It is displaced if the attempt's zone is not
   * available.
   *
   * @param attempt number of the attempt; 0 where it is not known
   */
  public void attemptLost(JobSpec job, int task, long attempt, String zone, MonotonicTime now) {
    if (current.read().state(zone) == ZoneState.AVAILABLE) {
      return;
    }
    queue.displace(job, task, zone, now);
    displacements.add(job, task, attempt, zone);
    // Hundreds may be lost at once, so that only what has changed is published.
    current.update(present -> present.withHeld(job.id(), queue.held(job.id())));
  }

  /**
   * Evaluates an observation; called at regular intervals.
   *
   * @return what to log, state changes first
   */
  public List<ZoneEvent> observe(Observations observed, MonotonicTime now) {
    zones.observed(observed.zones());
    if (queue.isEmpty() && displacements.isEmpty() && zones.isAllHealthy()) {
      // The usual case: there is nothing to decide or to publish.
      return new ArrayList<>();
    }
    List<ZoneEvent> events = zones.assess(now);
    events.addAll(displacements.displaced());
    if (!queue.isEmpty()) {
      settle(observed, events, now);
      release(observed, events, now);
      events.addAll(displacements.delayed(queue.jobs(), observed, now));
    }
    publish(now);
    return events;
  }

  private void settle(DisplacedWork work, List<ZoneEvent> events, MonotonicTime now) {
    for (FailoverQueue.JobTasks placed : queue.settle(work)) {
      double waitedS = now.secondsSince(placed.job().since());
      metrics.moved(order.name(placed.job().tier()), waitedS, placed.tasks().size());
      events.add(displacements.moved(placed, now));
    }
    displacements.retain(queue.jobs());
  }

  private void release(Observations observed, List<ZoneEvent> events, MonotonicTime now) {
    int firstOpenTier = order.size();
    for (String zone : zones.lostSince().keySet()) {
      for (int tier : observed.openTiers(zone)) {
        firstOpenTier = Math.min(firstOpenTier, tier);
      }
    }
    for (FailoverQueue.JobTasks released : queue.release(observed, firstOpenTier, now)) {
      events.add(displacements.released(released, now));
    }
  }

  private void publish(MonotonicTime now) {
    ZoneSnapshot next = new ZoneSnapshot(zones.status(pacer, now), queue.held());
    pacer.refill(next, now);
    current.update(present -> next);
  }

  // ---- planning ---------------------------------------------------------------------------------

  /** The snapshot without zones that take no work and without tasks that are held. */
  public Snapshot filter(Snapshot full) {
    return new SnapshotFilter(current.read()).filter(full);
  }

  /**
   * The plan without what exceeds the pace of returning zones.
   *
   * @param events the list to which the starts in returning zones are added
   */
  public Plan limit(Plan plan, PlacementFacts facts, List<ZoneEvent> events, MonotonicTime now) {
    ZoneSnapshot present = current.read();
    if (present.allAvailable()) {
      return plan;
    }
    Plan limited = limits.limit(plan, present, facts, events, now);
    publish(now);
    return limited;
  }
}
