package org.ternhinge.zone;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.schedule.Plan;

/**
 * Limits plans while a zone is not available: task starts in recovering zones and the release of
 * machines are rate-limited. Not thread-safe; the owner synchronizes access.
 */
final class RecoveryLimits {
  /** Share of the fleet's machines that may be released per second. */
  private static final double RELEASE_SHARE = 0.02;

  private final RecoveryRateLimiter rateLimiter;
  private ImmutableTokenBucket releases;

  RecoveryLimits(RecoveryRateLimiter rateLimiter, MonotonicTime now) {
    this.rateLimiter = rateLimiter;
    this.releases = ImmutableTokenBucket.withOneToken(now);
  }

  /**
   * Returns the part of a plan that is within the limits.
   *
   * @param events the list to which events of starts in recovering zones are added
   */
  Plan limit(
      Plan plan,
      ZoneSnapshot snapshot,
      PlacementLookup placementLookup,
      List<ZoneEvent> events,
      MonotonicTime now) {
    rateLimiter.refill(snapshot, now);
    releases = releases.refilled(Math.max(1, RELEASE_SHARE * fleetSize(snapshot)), now);
    PlanLimiter planLimiter = new PlanLimiter(rateLimiter, placementLookup);
    Plan limited = planLimiter.limited(plan, recoveringZones(snapshot), (int) releases.tokens());
    releases = releases.minus(limited.releases().size());
    planLimiter
        .startsByZone()
        .forEach(
            (zone, starts) ->
                events.add(
                    new ZoneEvent.RecoveryStarts(zone, snapshot.zones().get(zone).step(), starts)));
    return limited;
  }

  private static int fleetSize(ZoneSnapshot snapshot) {
    int machines = 0;
    for (ZoneStatus status : snapshot.zones().values()) {
      machines += status.expected();
    }
    return machines;
  }

  private static Set<String> recoveringZones(ZoneSnapshot snapshot) {
    Set<String> recovering = new HashSet<>();
    for (Map.Entry<String, ZoneStatus> zone : snapshot.zones().entrySet()) {
      if (zone.getValue().state() == ZoneState.RECOVERING) {
        recovering.add(zone.getKey());
      }
    }
    return recovering;
  }
}
