package org.ternhinge.zone;

import java.util.HashMap;
import java.util.Map;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.SteadyTime;

/**
 * Limits how many tasks start in zones that are recovering: few at first, twice as many with each
 * step. Keeps one budget for each zone; guarded by its owner.
 */
final class RecoveryRateLimiter {
  private final ZoneFailoverSettings.Pace pace;
  private final Map<String, ImmutableTokenBucket> buckets = new HashMap<>();

  RecoveryRateLimiter(ZoneFailoverSettings.Pace pace) {
    this.pace = pace;
  }

  /** Permitted starts a second in a zone of this size at a step. */
  double rate(int step, int machines) {
    return Math.max(1, pace.startsPerMachine() * machines) * Math.pow(2, step);
  }

  /** Refills the budgets; zones that are not recovering have none. */
  void refill(ZoneSnapshot zones, SteadyTime now) {
    buckets.keySet().removeIf(zone -> zones.state(zone) != ZoneState.RECOVERING);
    zones
        .zones()
        .forEach(
            (name, status) -> {
              if (status.state() == ZoneState.RECOVERING) {
                ImmutableTokenBucket bucket = buckets.computeIfAbsent(name, key -> ImmutableTokenBucket.withOneToken(now));
                buckets.put(name, bucket.refilled(rate(status.step(), status.expected()), now));
              }
            });
  }

  /** Whether a start in a zone is permitted now; always where the zone is not paced. */
  boolean allows(String zone) {
    ImmutableTokenBucket bucket = buckets.get(zone);
    return bucket == null || bucket.hasToken();
  }

  /** Takes the starts of tasks in a zone from its budget, which may overdraw it. */
  void take(String zone, int starts) {
    buckets.computeIfPresent(zone, (name, bucket) -> bucket.minus(starts));
  }
}
