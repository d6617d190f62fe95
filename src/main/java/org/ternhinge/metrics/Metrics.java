package org.ternhinge.metrics;

import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Where time goes, as histograms in milliseconds, told in the log now and then. */
public final class Metrics {
  private static final Logger LOG = LoggerFactory.getLogger(Metrics.class);
  private static final long MAX_EVALUATIONS = 100_000_000;
  private static final long MAX_MS = 3_600_000;

  private final Histogram starts = new Histogram(MAX_MS, 2);
  private final Histogram commands = new Histogram(MAX_MS, 2);
  private final Histogram rounds = new Histogram(MAX_MS, 2);
  private final Histogram evaluations = new Histogram(MAX_EVALUATIONS, 2);
  private final Histogram failovers = new Histogram(MAX_MS, 2);

  /** From the decision to open an attempt to the first sight of it running. */
  public synchronized void started(double seconds) {
    record(starts, seconds);
  }

  /**
   * A round's time, from its snapshot to its plan's end, and the candidates that its planner
   * evaluated.
   */
  public synchronized void round(double seconds, long roundEvaluations) {
    record(rounds, seconds);
    evaluations.recordValue(Math.min(MAX_EVALUATIONS, roundEvaluations));
  }

  /** The most candidates that one round evaluated. */
  public synchronized long mostEvaluations() {
    return evaluations.getMaxValue();
  }

  /** Round trip of direct commands. */
  public synchronized void commandAnswered(double seconds) {
    record(commands, seconds);
  }

  /** From election to readiness. */
  public synchronized void failover(double seconds) {
    record(failovers, seconds);
  }

  private static void record(Histogram histogram, double seconds) {
    histogram.recordValue(Math.max(0, Math.min(MAX_MS, (long) (seconds * 1000))));
  }

  /** Writes the figures so far to the log. */
  public synchronized void log() {
    if (LOG.isInfoEnabled() && starts.getTotalCount() + failovers.getTotalCount() > 0) {
      LOG.info("open to running ms: {}", line(starts));
      LOG.info("direct command ms: {}", line(commands));
      LOG.info("round ms: {}", line(rounds));
      LOG.info("round evaluations: {}", line(evaluations));
      LOG.info("election to ready ms: {}", line(failovers));
    }
  }

  private static String line(Histogram histogram) {
    return "n="
        + histogram.getTotalCount()
        + " p50="
        + histogram.getValueAtPercentile(50)
        + " p95="
        + histogram.getValueAtPercentile(95)
        + " max="
        + histogram.getMaxValue();
  }
}
