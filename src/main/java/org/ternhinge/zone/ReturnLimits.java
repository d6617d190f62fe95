package org.ternhinge.zone;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.schedule.Plan;

/**
 * Limits plans while a zone is not available: by the pace of returning zones, and by a rate of
 * machine releases. Guarded by its owner.
 */
final class ReturnLimits {
  /** Share of the fleet's machines that may be released a second. */
  private static final double RELEASE_SHARE = 0.02;

  private final ReturnPacer pacer;
  private RateBudget releases;

  ReturnLimits(ReturnPacer pacer, MonotonicTime now) {
    this.pacer = pacer;
    this.releases = RateBudget.starting(now);
  }

  /**
   * The plan without what exceeds the limits.
   *
   * @param events the list to which the starts in returning zones are added
   */
  Plan limit(
      Plan plan,
      ZoneSnapshot snapshot,
      PlacementFacts facts,
      List<ZoneEvent> events,
      MonotonicTime now) {
    pacer.refill(snapshot, now);
    releases = releases.refilled(Math.max(1, RELEASE_SHARE * fleetSize(snapshot)), now);
    PlanLimiter limiter = new PlanLimiter(pacer, facts);
    Plan limited = limiter.limited(plan, recoveringZones(snapshot), (int) releases.tokens());
    releases = releases.minus(limited.releases().size());
    limiter
        .startsByZone()
        .forEach(
            (zone, starts) ->
                events.add(
                    new ZoneEvent.ReturnStarts(zone, snapshot.zones().get(zone).step(), starts)));
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
