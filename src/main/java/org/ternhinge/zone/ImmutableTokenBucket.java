package org.ternhinge.zone;

import org.ternhinge.model.MonotonicTime;

/**
 * An immutable token bucket whose rate may change over time. Its capacity is the number of tokens
 * of one second plus one, so that none are lost to rounding. Indivisible requests, such as a gang,
 * may overdraw it.
 *
 * @param tokens number of tokens at the time {@code at}; negative after an overdraft
 * @param at time to which the number refers
 */
record ImmutableTokenBucket(double tokens, MonotonicTime at) {
  /** Returns a bucket with one token. */
  static ImmutableTokenBucket withOneToken(MonotonicTime now) {
    return new ImmutableTokenBucket(1, now);
  }

  /** Returns the bucket with the tokens added up to the given time. */
  ImmutableTokenBucket refilled(double tokensPerSecond, MonotonicTime now) {
    double elapsedS = Math.max(0, now.secondsSince(at));
    double capacity = tokensPerSecond + 1;
    return new ImmutableTokenBucket(Math.min(capacity, tokens + tokensPerSecond * elapsedS), now);
  }

  /** Whether at least one token is available. */
  boolean hasToken() {
    return tokens >= 1;
  }

  /** Returns the bucket without the given number of tokens, which may exceed those available. */
  ImmutableTokenBucket minus(int count) {
    return new ImmutableTokenBucket(tokens - count, at);
  }
}
