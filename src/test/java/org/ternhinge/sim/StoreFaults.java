package org.ternhinge.sim;

import java.util.random.RandomGenerator;
import org.ternhinge.model.MonotonicTime;

/**
 * Faults of the key-value store: outages, refusal of single controllers, delayed transactions, slow
 * responses and lowered limits.
 */
public final class StoreFaults {
  private static final double MIN_WRITE_DELAY_S = 2;
  private static final double WRITE_DELAY_RANGE_S = 10;

  private final SimClock clock;
  private final SimKeyValueStore service;
  private final RandomGenerator random;
  private double delayedWriteShare;
  private MonotonicTime writesDelayedUntil;
  private double latencyS;
  private MonotonicTime slowUntil;

  StoreFaults(SimClock clock, SimKeyValueStore service, RandomGenerator random) {
    this.clock = clock;
    this.service = service;
    this.random = random;
  }

  private boolean isActive(MonotonicTime until) {
    return until != null && clock.now().isBefore(until);
  }

  /** Refuses all requests for a while. */
  public void outage(double seconds) {
    service.outage(seconds);
  }

  /** Refuses one controller only for a while. */
  public void refuse(int controller, double seconds) {
    service.refuse(controller, seconds);
  }

  /** Periodically refuses the controller that leads at that time. */
  public void refuseLeaders(int times, double everyS, double refusedS) {
    for (int i = 0; i < times; i++) {
      clock.schedule(i * everyS, () -> refuseLeader(refusedS));
    }
  }

  private void refuseLeader(double seconds) {
    int leader = service.leader();
    if (leader >= 0) {
      refuse(leader, seconds);
    }
  }

  /** Leaves a share of transactions unanswered and applies them 2 to 12 s later. */
  public void delayWrites(double share, double seconds) {
    delayedWriteShare = share;
    writesDelayedUntil = clock.now().plusSeconds(seconds);
  }

  /** Delay of the next transaction in seconds, or 0. */
  double nextWriteDelayS() {
    boolean isDelayed = isActive(writesDelayedUntil) && random.nextDouble() < delayedWriteShare;
    return isDelayed ? MIN_WRITE_DELAY_S + random.nextDouble() * WRITE_DELAY_RANGE_S : 0;
  }

  /** Delays responses by between a quarter of the latency and all of it. */
  public void slowResponses(double seconds, double latency) {
    latencyS = latency;
    slowUntil = clock.now().plusSeconds(seconds);
  }

  /**
   * Executes one half of a call, request or response, with extra latency while the store is slow.
   */
  void afterLatency(Runnable work) {
    if (!isActive(slowUntil)) {
      work.run();
      return;
    }
    clock.schedule(latencyS * (0.25 + random.nextDouble() * 0.75) / 2, work);
  }

  /**
   * Lowers the limits from now on without notice; stored values stay readable. Transactions that
   * are too large are answered 400, those above the rate limit 429.
   */
  public void lowerLimits(double valueKb, int maxChangesPerSwap, double writeRps) {
    service.setLimits(new SimCluster.Limits(valueKb, maxChangesPerSwap, writeRps));
  }

  /** Lowers the limits to the announced ones. */
  public void lowerLimits() {
    service.setLimits(SimCluster.ANNOUNCED);
  }
}
