package org.ternhinge.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.ternhinge.sim.SimClock;

class TokenBucketTest {
  private final SimClock clock = new SimClock();
  private final TokenBucket bucket = new TokenBucket(clock, 10);

  @Test
  void renewalsFindTokensWhenQueriesHaveTakenTheirs() {
    int queries = 0;
    while (bucket.tryTake(Lane.QUERY, 1)) {
      queries++;
    }
    assertEquals(6, queries, "two fifths are left to those before");
    int renewals = 0;
    while (bucket.tryTake(Lane.RENEWAL, 1)) {
      renewals++;
    }
    assertEquals(4, renewals);
  }

  @Test
  void refillsAtItsRateAndNoFurther() {
    while (bucket.tryTake(Lane.RENEWAL, 1)) {
      clock.runFor(0);
    }
    assertEquals(0.5, bucket.secondsUntil(Lane.RENEWAL, 5), 1e-6);
    clock.runFor(100);
    assertTrue(bucket.tryTake(Lane.RENEWAL, 10));
    assertFalse(bucket.tryTake(Lane.RENEWAL, 1));
  }

  @Test
  void aRefusalByTheOtherSidePausesAll() {
    bucket.drain();
    assertFalse(bucket.tryTake(Lane.RENEWAL, 1));
    clock.runFor(0.31);
    assertTrue(bucket.tryTake(Lane.RENEWAL, 1));
  }

  @Test
  void moreThanTheBucketHoldsIsHadWhenItIsFull() {
    assertTrue(bucket.tryTake(Lane.ATTEMPT, 15), "else it would wait for ever");
    assertTrue(bucket.secondsUntil(Lane.RENEWAL, 1) > 0.5);
  }
}
