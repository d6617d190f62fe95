package org.ternhinge.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.sim.SimClock;

/** All controllers together stay within the key-value store's limits, whichever node leads. */
class KeyValueStoreBudgetTest {
  private static final double REQUESTS_PER_S = 80;
  private static final double CHANGES_PER_S = 30;
  private static final double STEP_S = 0.05;

  private final SimClock clock = new SimClock();

  /** The request limit of the key-value store: its rate, and bursts of one second's worth. */
  private final TokenBucket requestLimit = new TokenBucket(clock, REQUESTS_PER_S);

  private final TokenBucket changeLimit = new TokenBucket(clock, CHANGES_PER_S);
  private int sent;
  private int refused;

  private void sendAll(TokenBucket own, TokenBucket limit) {
    while (own.tryTake(RequestPriority.RENEWAL, 1)) {
      sent++;
      refused += limit.tryTake(RequestPriority.RENEWAL, 1) ? 0 : 1;
    }
  }

  /** Every controller exhausts its budget while the leadership changes. */
  @ParameterizedTest(name = "{0} controllers, another leads every {1} s, {2} s without any")
  @CsvSource({"1, 60, 0", "3, 60, 0", "5, 60, 0", "3, 7, 0.2", "5, 7, 0.2", "5, 7, 6"})
  void combinedRequestsStayWithinLimits(int controllers, double termS, double gapS) {
    List<KeyValueStoreBudget> budgets = new ArrayList<>();
    for (int i = 0; i < controllers; i++) {
      budgets.add(new KeyValueStoreBudget(clock, REQUESTS_PER_S, CHANGES_PER_S, controllers - 1));
    }
    int leader = 0;
    budgets.get(0).setLeading(true);
    double changesAt = termS;
    boolean led = true;
    for (double now = 0; now < 60; now += STEP_S) {
      if (now >= changesAt) {
        budgets.get(leader).setLeading(!led);
        led = !led;
        leader = led ? leader : (leader + 1) % controllers;
        changesAt = now + (led ? termS : gapS);
      }
      for (KeyValueStoreBudget budget : budgets) {
        sendAll(budget.requests(), requestLimit);
        sendAll(budget.changes(), changeLimit);
      }
      clock.runFor(STEP_S);
    }
    assertEquals(0, refused);
    assertTrue(sent > 60 * 0.3 * CHANGES_PER_S, "the budgets are used: " + sent);
  }

  /**
   * The shares equal those of the version in production: 0.7 for the leader, and an equal part of
   * the rest for each follower. Hence a mix of both versions also stays within the limits.
   */
  @ParameterizedTest(name = "{0} controllers, leading {1}: {2} requests and {3} changes a second")
  @CsvSource({
    "3, true, 56, 21",
    "3, false, 12, 4.5",
    "5, true, 56, 21",
    "5, false, 6, 2.25",
    "1, true, 56, 21"
  })
  void sharesMatchPreviousRelease(
      int controllers, boolean leading, double requestsPerS, double changesPerS) {
    KeyValueStoreBudget budget =
        new KeyValueStoreBudget(clock, REQUESTS_PER_S, CHANGES_PER_S, controllers - 1);
    budget.setLeading(leading);
    assertEquals(requestsPerS, ratePerS(budget.requests()), 1e-6);
    assertEquals(changesPerS, ratePerS(budget.changes()), 1e-6);
  }

  /** Measures the rate of a bucket: the inverse of the time between two tokens once it is empty. */
  private static double ratePerS(TokenBucket bucket) {
    while (bucket.tryTake(RequestPriority.RENEWAL, 1)) {
      // Empties the bucket.
    }
    double forOne = bucket.secondsUntil(RequestPriority.RENEWAL, 1);
    return 1 / (bucket.secondsUntil(RequestPriority.RENEWAL, 2) - forOne);
  }
}
