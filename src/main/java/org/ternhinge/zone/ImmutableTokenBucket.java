package org.ternhinge.zone;

import org.ternhinge.model.SteadyTime;

/**
 * A token bucket as an immutable value, whose rate may change over time. It holds the tokens of one
 * second and one more, so that rounding loses none, and may be overdrawn by what can't be divided,
 * such as a gang.
 *
 * @param tokens number of tokens at that time; negative after an overdraft
 * @param at time of that number
 */
record ImmutableTokenBucket(double tokens, SteadyTime at) {
  /** A budget with one token. */
  static ImmutableTokenBucket withOneToken(SteadyTime now) {
    return new ImmutableTokenBucket(1, now);
  }

  /** The budget with the tokens that were added since its time. */
  ImmutableTokenBucket refilled(double tokensPerSecond, SteadyTime now) {
    double elapsedS = Math.max(0, now.secondsSince(at));
    double capacity = tokensPerSecond + 1;
    return new ImmutableTokenBucket(Math.min(capacity, tokens + tokensPerSecond * elapsedS), now);
  }

  /** Whether a token is left. */
  boolean hasToken() {
    return tokens >= 1;
  }

  /** The budget after tokens were taken, which may be more than there are. */
  ImmutableTokenBucket minus(int count) {
    return new ImmutableTokenBucket(tokens - count, at);
  }
}
