package org.ternhinge.metrics;

import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.model.MonotonicTime;

/**
 * Latency histograms of this process, which are logged periodically. Safe for use by several
 * threads.
 */
public final class Metrics {
  private static final Logger LOG = LoggerFactory.getLogger(Metrics.class);
  private static final long MAX_EVALUATIONS = 100_000_000;

  /** Upper bound of the histograms: longer times are recorded as one hour. */
  private static final long MAX_MS = 3_600_000;

  private static final int SIGNIFICANT_DIGITS = 2;
  private static final int MILLIS_PER_S = 1000;

  private final Histogram startTimes = new Histogram(MAX_MS, SIGNIFICANT_DIGITS);
  private final Histogram commandTimes = new Histogram(MAX_MS, SIGNIFICANT_DIGITS);
  private final Histogram roundTimes = new Histogram(MAX_MS, SIGNIFICANT_DIGITS);
  private final Histogram evaluations = new Histogram(MAX_EVALUATIONS, SIGNIFICANT_DIGITS);
  private final Histogram failoverTimes = new Histogram(MAX_MS, SIGNIFICANT_DIGITS);
  private final Histogram timerDelays = new Histogram(MAX_MS, SIGNIFICANT_DIGITS);
  private final InvariantChecks invariants = new InvariantChecks();
  private final JobRequestMetrics jobRequests = new JobRequestMetrics();
  private final WorkerCommandMetrics workerCommands = new WorkerCommandMetrics();

  /** Invariants that are checked at run time. */
  public InvariantChecks invariants() {
    return invariants;
  }

  /** How users' requests about jobs end at this node. */
  public JobRequestMetrics jobRequests() {
    return jobRequests;
  }

  /** Commands to workers that concern tasks without an open attempt. */
  public WorkerCommandMetrics workerCommands() {
    return workerCommands;
  }

  /**
   * Records the start of a task.
   *
   * @param seconds time from the decision to open its attempt to the first heartbeat that reports
   *     it running
   */
  public synchronized void recordStart(double seconds) {
    record(startTimes, seconds);
  }

  /**
   * Records a scheduling round.
   *
   * @param seconds time from its snapshot to the end of planning
   * @param roundEvaluations number of candidates that the planner evaluated
   */
  public synchronized void recordRound(double seconds, long roundEvaluations) {
    record(roundTimes, seconds);
    evaluations.recordValue(Math.min(MAX_EVALUATIONS, roundEvaluations));
  }

  /**
   * Returns the maximum number of candidates evaluated in a round, to the precision of the
   * histogram.
   */
  public synchronized long maxEvaluations() {
    return evaluations.getMaxValue();
  }

  /** Records the round trip of a direct command, in seconds. */
  public synchronized void recordCommand(double seconds) {
    record(commandTimes, seconds);
  }

  /** Records a failover, as the seconds from the election until the new leader is ready. */
  public synchronized void recordFailover(double seconds) {
    record(failoverTimes, seconds);
  }

  /** Records how late a timer of the event loop ran, in seconds. */
  public synchronized void recordTimerDelay(double seconds) {
    record(timerDelays, seconds);
  }

  private static void record(Histogram histogram, double seconds) {
    histogram.recordValue(Math.max(0, Math.min(MAX_MS, (long) (seconds * MILLIS_PER_S))));
  }

  /**
   * Logs a summary of users' requests about jobs, of commands to workers and of delays of the event
   * loop, all since the last summary, and of the other histograms, unless no start or failover has
   * been recorded yet.
   */
  public synchronized void logSummary(MonotonicTime now) {
    jobRequests.drainSummary(now).ifPresent(LOG::info);
    workerCommands.drainSummary().ifPresent(LOG::info);
    LOG.info("timer delay ms: {}", summary(timerDelays));
    timerDelays.reset();
    if (LOG.isInfoEnabled() && startTimes.getTotalCount() + failoverTimes.getTotalCount() > 0) {
      LOG.info("open to running ms: {}", summary(startTimes));
      LOG.info("direct command ms: {}", summary(commandTimes));
      LOG.info("round ms: {}", summary(roundTimes));
      LOG.info("round evaluations: {}", summary(evaluations));
      LOG.info("election to ready ms: {}", summary(failoverTimes));
    }
  }

  private static String summary(Histogram histogram) {
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
