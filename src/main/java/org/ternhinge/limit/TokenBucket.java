package org.ternhinge.limit;

import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;

/**
 * A token bucket for calls to a system that limits their rate: a steady rate, and bursts of one
 * second's worth. Safe for use by several threads.
 */
public final class TokenBucket {
  /** Debt after a refusal by the other system, in seconds of the rate. */
  private static final double REFUSAL_DEBT_S = 0.2;

  /** Capacity that lets single calls pass at a rate below one per second. */
  private static final double MIN_CAPACITY = 1;

  /** Error of a sum of fractions, for which a whole token must not be missed. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final Clock clock;
  private double ratePerS;
  private double capacity;
  private double tokens;
  private MonotonicTime refilledAt;

  /**
   * Creates a full bucket.
   *
   * @param ratePerS tokens per second
   */
  public TokenBucket(Clock clock, double ratePerS) {
    this.clock = clock;
    this.ratePerS = ratePerS;
    this.capacity = Math.max(MIN_CAPACITY, ratePerS);
    this.tokens = capacity;
    this.refilledAt = clock.now();
  }

  /** Changes the rate from now on. An increase adds no tokens, only the capacity for them. */
  public synchronized void setRate(double newRatePerS) {
    refill();
    ratePerS = newRatePerS;
    capacity = Math.max(MIN_CAPACITY, newRatePerS);
    tokens = Math.min(tokens, capacity);
  }

  /** Takes a number of tokens, or none and returns false. */
  public synchronized boolean tryTake(RequestPriority priority, int count) {
    if (secondsUntil(priority, count) > 0) {
      return false;
    }
    tokens -= count;
    return true;
  }

  /** How many tokens a request of a priority may take now. */
  public synchronized int available(RequestPriority priority) {
    refill();
    double free = tokens - capacity * priority.reserve();
    return (int) Math.max(0, Math.floor(free + ROUNDING_TOLERANCE));
  }

  /**
   * Seconds until a number of tokens may be taken. More than the capacity may be taken once the
   * bucket is full, which leaves it in debt; otherwise they could never be taken.
   */
  public synchronized double secondsUntil(RequestPriority priority, int count) {
    refill();
    double reserve = capacity * priority.reserve();
    double missing = Math.min(count + reserve, capacity) - tokens;
    return missing <= 0 ? 0 : missing / ratePerS;
  }

  /**
   * Pauses all calls for a moment, after the other system has refused one for its rate: other
   * processes use up the same limit.
   */
  public synchronized void drain() {
    refill();
    tokens = Math.min(tokens, -REFUSAL_DEBT_S * ratePerS);
  }

  private void refill() {
    MonotonicTime now = clock.now();
    tokens = Math.min(capacity, tokens + now.secondsSince(refilledAt) * ratePerS);
    refilledAt = now;
  }
}
