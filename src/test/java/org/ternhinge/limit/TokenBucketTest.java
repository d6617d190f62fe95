package org.ternhinge.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.ternhinge.sim.SimClock;

/** Rate, burst capacity and priority reserves of a token bucket. */
class TokenBucketTest {
  private final SimClock clock = new SimClock();
  private final TokenBucket bucket = new TokenBucket(clock, 10);

  @Test
  void lowerPriorityLeavesReserveForHigherOnes() {
    int queries = 0;
    while (bucket.tryTake(RequestPriority.QUERY, 1)) {
      queries++;
    }
    assertEquals(6, queries, "two fifths are reserved");
    int renewals = 0;
    while (bucket.tryTake(RequestPriority.RENEWAL, 1)) {
      renewals++;
    }
    assertEquals(4, renewals);
  }

  @Test
  void bucketRefillsAtItsRateUpToCapacity() {
    while (bucket.tryTake(RequestPriority.RENEWAL, 1)) {
      clock.runFor(0);
    }
    assertEquals(0.5, bucket.secondsUntil(RequestPriority.RENEWAL, 5), 1e-6);
    clock.runFor(100);
    assertTrue(bucket.tryTake(RequestPriority.RENEWAL, 10));
    assertFalse(bucket.tryTake(RequestPriority.RENEWAL, 1));
  }

  @Test
  void remoteRateLimitPausesAllPriorities() {
    bucket.pauseAfterRejection();
    assertFalse(bucket.tryTake(RequestPriority.RENEWAL, 1));
    clock.runFor(0.31);
    assertTrue(bucket.tryTake(RequestPriority.RENEWAL, 1));
  }

  @Test
  void requestAboveCapacityIsGrantedFromFullBucket() {
    assertTrue(bucket.tryTake(RequestPriority.ATTEMPT, 15), "otherwise it would never be granted");
    assertTrue(bucket.secondsUntil(RequestPriority.RENEWAL, 1) > 0.5);
  }
}
