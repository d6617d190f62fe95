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
record TokenBucket(double tokens, SteadyTime at) {
  /** A budget with one token. */
  static TokenBucket withOneToken(SteadyTime now) {
    return new TokenBucket(1, now);
  }

  /** The budget with the tokens that were added since its time. */
  TokenBucket refilled(double tokensPerSecond, SteadyTime now) {
    double elapsedS = Math.max(0, now.secondsSince(at));
    double capacity = tokensPerSecond + 1;
    return new TokenBucket(Math.min(capacity, tokens + tokensPerSecond * elapsedS), now);
  }

  /** Whether a token is left. */
  boolean hasToken() {
    return tokens >= 1;
  }

  /** The budget after tokens were taken, which may be more than there are. */
  TokenBucket minus(int count) {
    return new TokenBucket(tokens - count, at);
  }
}
