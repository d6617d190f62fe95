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
 * Makes all decisions of one leadership about the loss and recovery of zones. Guarded by the
 * controller's lock, except for {@link #filter}, which any thread may call.
 */
public final class ZoneFailover {
  /** The observations of a leadership at one time. */
  public interface Observations extends DisplacedWork {
    /** Returns the condition of each zone's machines, in the order of the site's settings. */
    List<ZoneObservation> zones();

    /** Returns the tiers of attempts that are still open on impaired machines of a zone. */
    Set<Integer> openTiers(String zone);
  }

  private final FailoverOrder order;
  private final ZoneTable zones;
  private final FailoverQueue queue;
  private final DisplacementLog displacements;
  private final RecoveryRateLimiter rateLimiter;
  private final RecoveryLimits limits;
  private final ZoneSnapshotReference current = new ZoneSnapshotReference();
  private final FailoverMetrics metrics = new FailoverMetrics();

  /**
   * Creates the failover of a new leadership, with all zones available.
   *
   * @param names names of the zones
   * @param leaseS duration of a worker's lease, in seconds
   * @param minReleaseRate minimum release rate of displaced tasks, in tasks per second
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
    this.rateLimiter = new RecoveryRateLimiter(settings.pace());
    this.limits = new RecoveryLimits(rateLimiter, now);
  }

  /** Returns the published zone snapshot, which any thread may read. */
  ZoneSnapshotReference current() {
    return current;
  }

  /** Returns the waiting times of displaced tasks by tier. */
  public FailoverMetrics metrics() {
    return metrics;
  }

  /** Returns the tier of a job. */
  public int tierOf(JobSpec job) {
    return order.tierOf(job);
  }

  // ---- record -----------------------------------------------------------------------------------

  /** Returns the record of all zones for the next leader. */
  public ObjectNode record(MonotonicTime now, long wallMillis) {
    return zones.record(now, wallMillis);
  }

  /** Restores the record of an earlier leader; unknown zone names are ignored. */
  public void restore(JsonNode record, MonotonicTime now, long wallMillis) {
    zones.restore(record, now, wallMillis);
    publish(now);
  }

  /** Returns the unavailable and recovering zones with the time of their last state change. */
  public Map<String, MonotonicTime> lostSince() {
    return zones.lostSince();
  }

  // ---- observations -----------------------------------------------------------------------------

  /**
   * Records that a task has lost its attempt. The task counts as displaced if the attempt's zone is
   * not available.
   *
   * @param attempt number of the attempt; 0 if unknown
   */
  public void attemptLost(JobSpec job, int task, long attempt, String zone, MonotonicTime now) {
    if (current.read().state(zone) == ZoneState.AVAILABLE) {
      return;
    }
    queue.displace(job, task, zone, now);
    displacements.add(job, task, attempt, zone);
    // Hundreds of attempts may be lost at once, so only the change is published.
    current.update(snapshot -> snapshot.withHeld(job.id(), queue.held(job.id())));
  }

  /**
   * Evaluates an observation; called periodically.
   *
   * @return the events to log, state changes first
   */
  public List<ZoneEvent> observe(Observations observed, MonotonicTime now) {
    zones.setObservations(observed.zones());
    if (queue.isEmpty() && displacements.isEmpty() && zones.areAllHealthy()) {
      // Fast path: there is nothing to decide or publish.
      return new ArrayList<>();
    }
    List<ZoneEvent> events = zones.assess(now);
    events.addAll(displacements.displaced());
    if (!queue.isEmpty()) {
      removeResolved(observed, events, now);
      release(observed, events, now);
      events.addAll(displacements.delayed(queue.jobs(), observed, now));
    }
    publish(now);
    return events;
  }

  private void removeResolved(DisplacedWork work, List<ZoneEvent> events, MonotonicTime now) {
    for (FailoverQueue.JobTasks placed : queue.removeResolved(work)) {
      double waitedS = now.secondsSince(placed.job().since());
      metrics.recordMoved(order.name(placed.job().tier()), waitedS, placed.tasks().size());
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
    ZoneSnapshot next = new ZoneSnapshot(zones.status(rateLimiter, now), queue.held());
    rateLimiter.refill(next, now);
    current.update(previous -> next);
  }

  // ---- planning ---------------------------------------------------------------------------------

  /** Returns the snapshot without held tasks and without zones that accept no work. */
  public Snapshot filter(Snapshot full) {
    return new SnapshotFilter(current.read()).filter(full);
  }

  /**
   * Returns the part of a plan that is within the limits of recovering zones.
   *
   * @param events the list to which events of starts in recovering zones are added
   */
  public Plan limit(
      Plan plan, PlacementLookup placementLookup, List<ZoneEvent> events, MonotonicTime now) {
    ZoneSnapshot snapshot = current.read();
    if (snapshot.allAvailable()) {
      return plan;
    }
    Plan limited = limits.limit(plan, snapshot, placementLookup, events, now);
    publish(now);
    return limited;
  }
}
