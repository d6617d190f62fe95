package org.ternhinge.zone;

import java.util.HashMap;
import java.util.Map;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.MonotonicTime;

/**
 * Limits the rate of task starts in recovering zones; the rate doubles with each step of the
 * recovery. Keeps one token bucket per recovering zone. Not thread-safe; the owner synchronizes
 * access.
 */
final class RecoveryRateLimiter {
  private final ZoneFailoverSettings.Pace pace;
  private final Map<String, ImmutableTokenBucket> buckets = new HashMap<>();

  RecoveryRateLimiter(ZoneFailoverSettings.Pace pace) {
    this.pace = pace;
  }

  /**
   * Returns the permitted starts per second in a zone of the given size at a step of its recovery;
   * at least one.
   */
  double rate(int step, int machines) {
    return Math.max(1, pace.startsPerMachine() * machines) * Math.pow(2, step);
  }

  /** Refills the buckets, and removes those of zones that are not recovering. */
  void refill(ZoneSnapshot zones, MonotonicTime now) {
    buckets.keySet().removeIf(zone -> zones.state(zone) != ZoneState.RECOVERING);
    zones
        .zones()
        .forEach(
            (name, status) -> {
              if (status.state() == ZoneState.RECOVERING) {
                ImmutableTokenBucket bucket =
                    buckets.computeIfAbsent(name, key -> ImmutableTokenBucket.withOneToken(now));
                buckets.put(name, bucket.refilled(rate(status.step(), status.expected()), now));
              }
            });
  }

  /** Whether a start in a zone is permitted now; always true if the zone is not rate-limited. */
  boolean allows(String zone) {
    ImmutableTokenBucket bucket = buckets.get(zone);
    return bucket == null || bucket.hasToken();
  }

  /** Takes tokens for task starts from a zone's bucket, which may overdraw it. */
  void take(String zone, int starts) {
    buckets.computeIfPresent(zone, (name, bucket) -> bucket.minus(starts));
  }
}
