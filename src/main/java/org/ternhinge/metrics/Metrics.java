package org.ternhinge.metrics;

import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Where time goes, as histograms in milliseconds, told in the log now and then. */
public final class Metrics {
  private static final Logger LOG = LoggerFactory.getLogger(Metrics.class);
  private static final long MOST_STEPS = 100_000_000;
  private static final long MOST_MS = 3_600_000;

  private final Histogram starts = new Histogram(MOST_MS, 2);
  private final Histogram orders = new Histogram(MOST_MS, 2);
  private final Histogram rounds = new Histogram(MOST_MS, 2);
  private final Histogram planSteps = new Histogram(MOST_STEPS, 2);
  private final Histogram takeOvers = new Histogram(MOST_MS, 2);

  /** From the decision to open an attempt to the first sight of it running. */
  public synchronized void started(double seconds) {
    record(starts, seconds);
  }

  /** A round's time, from its snapshot to its plan's end, and its planner's steps. */
  public synchronized void round(double seconds, long steps) {
    record(rounds, seconds);
    planSteps.recordValue(Math.min(MOST_STEPS, steps));
  }

  /** The most steps that one round took. */
  public synchronized long mostSteps() {
    return planSteps.getMaxValue();
  }

  /** Round trip of a direct order. */
  public synchronized void ordered(double seconds) {
    record(orders, seconds);
  }

  /** From election to readiness. */
  public synchronized void takeOver(double seconds) {
    record(takeOvers, seconds);
  }

  private static void record(Histogram h, double seconds) {
    h.recordValue(Math.max(0, Math.min(MOST_MS, (long) (seconds * 1000))));
  }

  /** Writes the figures so far to the log. */
  public synchronized void log() {
    if (LOG.isInfoEnabled() && starts.getTotalCount() + takeOvers.getTotalCount() > 0) {
      LOG.info("open to running ms: {}", line(starts));
      LOG.info("direct order ms: {}", line(orders));
      LOG.info("round ms: {}", line(rounds));
      LOG.info("round steps: {}", line(planSteps));
      LOG.info("election to ready ms: {}", line(takeOvers));
    }
  }

  private static String line(Histogram h) {
    return "n="
        + h.getTotalCount()
        + " p50="
        + h.getValueAtPercentile(50)
        + " p95="
        + h.getValueAtPercentile(95)
        + " max="
        + h.getMaxValue();
  }
}
