package org.ternhinge.limit;

import org.ternhinge.model.Clock;
import org.ternhinge.model.SteadyTime;

/**
 * Tokens for calls to a system that limits its callers: a steady rate, and bursts of what comes in
 * during one second. Safe for use by several threads.
 */
public final class TokenBucket {
  /** After a refusal, calls pause for as long as it takes to earn this many seconds of tokens. */
  private static final double REFUSAL_PAUSE_S = 0.2;

  /** A slow rate must still let single calls pass. */
  private static final double MIN_SIZE = 1;

  /** Keeps a whole token from being missed for the rounding of a sum. */
  private static final double ROUNDING = 1e-9;

  private final Clock clock;
  private double ratePerS;
  private double size;
  private double tokens;
  private SteadyTime filledAt;

  /** Creates a full bucket. */
  public TokenBucket(Clock clock, double ratePerS) {
    this.clock = clock;
    this.ratePerS = ratePerS;
    this.size = Math.max(MIN_SIZE, ratePerS);
    this.tokens = size;
    this.filledAt = clock.now();
  }

  /** Changes the rate from now on. A higher rate does not come with a burst of its own. */
  public synchronized void setRate(double newRatePerS) {
    fill();
    ratePerS = newRatePerS;
    size = Math.max(MIN_SIZE, newRatePerS);
    tokens = Math.min(tokens, size);
  }

  /** Takes so many tokens, or none. */
  public synchronized boolean tryTake(RequestPriority priority, int count) {
    if (secondsUntil(priority, count) > 0) {
      return false;
    }
    tokens -= count;
    return true;
  }

  /** How many tokens could be taken now. */
  public synchronized int available(RequestPriority priority) {
    fill();
    double free = tokens - size * priority.reserve();
    return (int) Math.max(0, Math.floor(free + ROUNDING));
  }

  /**
   * Seconds until so many tokens can be taken. More than the bucket holds are given when it is
   * full, and displaced from then on; else they would never be.
   */
  public synchronized double secondsUntil(RequestPriority priority, int count) {
    fill();
    double reserve = size * priority.reserve();
    double missing = Math.min(count + reserve, size) - tokens;
    return missing <= 0 ? 0 : missing / ratePerS;
  }

  /** The other side has refused a call for its rate: others use the same budget, so pause. */
  public synchronized void drain() {
    fill();
    tokens = Math.min(tokens, -REFUSAL_PAUSE_S * ratePerS);
  }

  private void fill() {
    SteadyTime now = clock.now();
    tokens = Math.min(size, tokens + now.secondsSince(filledAt) * ratePerS);
    filledAt = now;
  }
}
