package org.ternhinge.sim;

import java.util.random.RandomGenerator;
import org.ternhinge.model.SteadyTime;

/**
 * Faults of the key-value store: outages, refusals of single controllers, late transactions, slow
 * answers and lower limits.
 */
public final class StoreFaults {
  private static final double LEAST_LATE_S = 2;
  private static final double MOST_MORE_LATE_S = 10;

  private final SimClock clock;
  private final SimKeyValueStore service;
  private final RandomGenerator random;
  private double lateShare;
  private SteadyTime lateUntil;
  private double latencyS;
  private SteadyTime slowUntil;

  StoreFaults(SimClock clock, SimKeyValueStore service, RandomGenerator random) {
    this.clock = clock;
    this.service = service;
    this.random = random;
  }

  private boolean lasts(SteadyTime until) {
    return until != null && clock.now().isBefore(until);
  }

  /** The service refuses everybody for so long. */
  public void outage(double seconds) {
    service.outage(seconds);
  }

  /** The service refuses one controller alone for so long. */
  public void refuse(int controller, double seconds) {
    service.refuse(controller, seconds);
  }

  /** Again and again the service refuses whoever leads by then. */
  public void refuseLeaders(int times, double everyS, double refusedS) {
    for (int i = 0; i < times; i++) {
      clock.after(i * everyS, () -> refuseLeader(refusedS));
    }
  }

  private void refuseLeader(double seconds) {
    int leader = service.leader();
    if (leader >= 0) {
      refuse(leader, seconds);
    }
  }

  /** That share of transactions gets no answer and is carried out 2 to 12 s later. */
  public void delayWrites(double share, double seconds) {
    lateShare = share;
    lateUntil = clock.now().plusSeconds(seconds);
  }

  /** Seconds by which a transaction at hand is carried out late, or 0. */
  double nextWriteDelayS() {
    boolean late = lasts(lateUntil) && random.nextDouble() < lateShare;
    return late ? LEAST_LATE_S + random.nextDouble() * MOST_MORE_LATE_S : 0;
  }

  /** Answers take from a quarter of that latency to all of it. */
  public void slowResponses(double seconds, double latency) {
    latencyS = latency;
    slowUntil = clock.now().plusSeconds(seconds);
  }

  /** Carries out half of a call, the way there or back, later than usual while it is slow. */
  void afterLatency(Runnable work) {
    if (!lasts(slowUntil)) {
      work.run();
      return;
    }
    clock.after(latencyS * (0.25 + random.nextDouble() * 0.75) / 2, work);
  }

  /**
   * From now on the service takes less, without notice; what it holds stays readable. Larger
   * transactions are answered 400, faster ones 429.
   */
  public void lowerLimits(double valueKb, int maxChangesPerSwap, double writeRps) {
    service.setLimits(new SimCluster.Limits(valueKb, maxChangesPerSwap, writeRps));
  }

  /** The limits become those that the settings name as coming. */
  public void lowerLimits() {
    service.setLimits(SimCluster.ANNOUNCED);
  }
}
