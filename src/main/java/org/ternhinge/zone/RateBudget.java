package org.ternhinge.zone;

import org.ternhinge.model.SteadyTime;

/**
 * A token bucket as an immutable value, whose rate may change over time. It holds a second's worth
 * and one token more, so that rounding costs nothing, and may be overdrawn by what can't be
 * divided, such as a gang.
 *
 * @param tokens at that time; negative after an overdraft
 * @param at when there were so many
 */
record RateBudget(double tokens, SteadyTime at) {
  /** A budget that permits one thing at once. */
  static RateBudget starting(SteadyTime now) {
    return new RateBudget(1, now);
  }

  /** The budget after it was filled at a rate since it was last looked at. */
  RateBudget filled(double perSecond, SteadyTime now) {
    double elapsedS = Math.max(0, now.secondsSince(at));
    double most = perSecond + 1;
    return new RateBudget(Math.min(most, tokens + perSecond * elapsedS), now);
  }

  /** Whether anything may be taken. */
  boolean allows() {
    return tokens >= 1;
  }

  /** The budget after so many were taken. */
  RateBudget less(int count) {
    return new RateBudget(tokens - count, at);
  }
}
