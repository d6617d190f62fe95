package org.ternhinge.zone;

import org.ternhinge.model.MonotonicTime;

/**
 * A token bucket as an immutable value, whose rate may change over time. It holds the tokens of one
 * second and one more, so that rounding loses none, and may be overdrawn by what can't be divided,
 * such as a gang.
 *
 * @param tokens number of tokens at that time; negative after an overdraft
 * @param at time of that number
 */
record RateBudget(double tokens, MonotonicTime at) {
  /** A budget with one token. */
  static RateBudget starting(MonotonicTime now) {
    return new RateBudget(1, now);
  }

  /** The budget with the tokens that were added since its time. */
  RateBudget refilled(double perSecond, MonotonicTime now) {
    double elapsedS = Math.max(0, now.secondsSince(at));
    double capacity = perSecond + 1;
    return new RateBudget(Math.min(capacity, tokens + perSecond * elapsedS), now);
  }

  /** Whether a token is left. */
  boolean allows() {
    return tokens >= 1;
  }

  /** The budget after tokens were taken, which may be more than there are. */
  RateBudget minus(int count) {
    return new RateBudget(tokens - count, at);
  }
}
