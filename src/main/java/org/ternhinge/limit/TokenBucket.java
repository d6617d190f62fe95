package org.ternhinge.limit;

import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;

/**
 * Token bucket for calls to a rate-limited remote system. It allows a steady rate and bursts of one
 * second's worth of tokens. Safe for use by several threads.
 */
public final class TokenBucket {
  /** Debt after the remote system has rejected a call for its rate, in seconds of refill. */
  private static final double REJECTION_DEBT_S = 0.2;

  /** Minimum capacity, so that single calls are possible at rates below one per second. */
  private static final double MIN_CAPACITY = 1;

  /** Tolerance for floating-point error, so that a whole token is not missed. */
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

  /** Changes the rate. An increase raises the capacity but adds no tokens. */
  public synchronized void setRate(double newRatePerS) {
    refill();
    ratePerS = newRatePerS;
    capacity = Math.max(MIN_CAPACITY, newRatePerS);
    tokens = Math.min(tokens, capacity);
  }

  /** Takes a number of tokens, or takes none and returns false. */
  public synchronized boolean tryTake(RequestPriority priority, int count) {
    if (secondsUntil(priority, count) > 0) {
      return false;
    }
    tokens -= count;
    return true;
  }

  /** Returns how many tokens a request of the given priority may take now. */
  public synchronized int available(RequestPriority priority) {
    refill();
    double free = tokens - capacity * priority.reserve();
    return (int) Math.max(0, Math.floor(free + ROUNDING_TOLERANCE));
  }

  /**
   * Returns the seconds until a number of tokens may be taken. A request for more than the capacity
   * is granted once the bucket is full, which leaves the bucket in debt; otherwise it could never
   * be granted.
   */
  public synchronized double secondsUntil(RequestPriority priority, int count) {
    refill();
    double reserve = capacity * priority.reserve();
    double missing = Math.min(count + reserve, capacity) - tokens;
    return missing <= 0 ? 0 : missing / ratePerS;
  }

  /**
   * Pauses all calls briefly after the remote system has rejected one for its rate, since other
   * processes draw on the same limit.
   */
  public synchronized void pauseAfterRejection() {
    refill();
    tokens = Math.min(tokens, -REJECTION_DEBT_S * ratePerS);
  }

  private void refill() {
    MonotonicTime now = clock.now();
    tokens = Math.min(capacity, tokens + now.secondsSince(refilledAt) * ratePerS);
    refilledAt = now;
  }
}
