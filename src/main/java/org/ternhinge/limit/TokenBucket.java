package org.ternhinge.limit;

import org.ternhinge.model.Clock;
import org.ternhinge.model.SteadyTime;

/** Tokens for calls to a system that limits its callers. Safe for use by several threads. */
public final class TokenBucket {
  private final Clock clock;
  private double rate;
  private double size;
  private double tokens;
  private SteadyTime filled;

  public TokenBucket(Clock clock, double rate) {
    this.clock = clock;
    this.rate = rate;
    this.size = Math.max(1, rate);
    this.tokens = size;
    this.filled = clock.now();
  }

  public synchronized void setRate(double newRate) {
    fill();
    rate = newRate;
    size = Math.max(1, newRate);
    tokens = Math.min(tokens, size);
  }

  public synchronized boolean tryTake(RequestPriority lane, int count) {
    if (secondsUntil(lane, count) > 0) {
      return false;
    }
    tokens -= count;
    return true;
  }

  /** How many tokens this lane could take now. */
  public synchronized int available(RequestPriority lane) {
    fill();
    return (int) Math.max(0, Math.floor(tokens - size * lane.reserve() + 1e-9));
  }

  /** Seconds until so many tokens can be had in this lane. */
  public synchronized double secondsUntil(RequestPriority lane, int count) {
    fill();
    double reserve = size * lane.reserve();
    double needed = Math.min(count + reserve, size) - tokens;
    return needed <= 0 ? 0 : needed / rate;
  }

  /** The other side has refused a call for its rate: others use the same budget, so pause. */
  public synchronized void drain() {
    fill();
    tokens = Math.min(tokens, -0.2 * rate);
  }

  private void fill() {
    SteadyTime now = clock.now();
    tokens = Math.min(size, tokens + now.secondsSince(filled) * rate);
    filled = now;
  }
}
