package org.ternhinge.store;

import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleFunction;
import org.ternhinge.config.Tuning;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;

/**
 * Adaptive time-outs for calls to the key-value store. Like TCP's retransmission timer they follow
 * the smoothed mean and deviation of the response times and back off after unanswered calls, so
 * that calls wait longer for a slow store than for a fast one. With a fixed time-out below the
 * response time, every call would fail and no node could become the leader.
 *
 * <p>Time-outs lie between a minimum for each kind of call and a maximum that follows from the
 * leadership lease. An unanswered call raises them only until the next response. Thread-safe.
 */
public final class ResponseTimeouts {

  /** Kinds of calls, each with its minimum time-out in seconds. */
  public enum Kind {
    /** A read on which the leadership depends. */
    READ(1.5, true),
    /** A write on which the leadership depends. */
    WRITE(1.5, true),
    /** Grants or revokes a lease. */
    LEASE(1.0, true),

    /**
     * A read or a write on which the leadership does not depend. Its time-out does not back off,
     * since jobs and users wait for the retry when a response is lost.
     */
    ORDINARY(1.5, false);

    private final double minTimeoutS;
    private final boolean backsOff;

    Kind(double minTimeoutS, boolean backsOff) {
      this.minTimeoutS = minTimeoutS;
      this.backsOff = backsOff;
    }

    /** The kind of a read with the given priority. */
    public static Kind ofRead(RequestPriority priority) {
      return priority == RequestPriority.RENEWAL ? READ : ORDINARY;
    }

    /** The kind of a write with the given priority. */
    public static Kind ofWrite(RequestPriority priority) {
      return priority == RequestPriority.RENEWAL ? WRITE : ORDINARY;
    }
  }

  /** Weight of a new response time in the mean. */
  private static final double MEAN_GAIN = 0.25;

  /**
   * Weight of a new response time in the deviation; lower than that of the mean, so that the effect
   * of jitter lasts longer.
   */
  private static final double DEVIATION_GAIN = 0.125;

  /**
   * Number of deviations above the mean that a response may take: about the maximum of a sum of two
   * uniformly distributed delays.
   */
  private static final double MAX_DEVIATIONS = 6;

  /** Fraction of the mean that is added to it at least, however small the deviation is. */
  private static final double MIN_MARGIN_FRACTION = 0.5;

  private static final double BACKOFF_FACTOR = 2;

  /** An unanswered call counts as timed out if it took at least this fraction of its time-out. */
  private static final double TIMED_OUT_FRACTION = 0.99;

  private final Clock clock;
  private final double maxTimeoutS;
  private double meanS;

  /** Smoothed excess of response times over the mean; faster responses count as zero. */
  private double deviationS;

  private boolean hasSample;

  /** Time-out in seconds after unanswered calls; 0 after an answered call. */
  private double backoffTimeoutS;

  /**
   * Creates time-outs without recorded response times.
   *
   * @param maxTimeoutS maximum time-out in seconds
   */
  public ResponseTimeouts(Clock clock, double maxTimeoutS) {
    this.clock = clock;
    this.maxTimeoutS = maxTimeoutS;
  }

  /**
   * Creates time-outs for the store that holds the leadership lease. The maximum is the longest
   * response time with which the lease remains valid until the next renewal is answered: validity
   * counts from the time at which a renewal is sent, and while responses are late, the next renewal
   * is sent later by the delay after which a renewal counts as overdue.
   */
  public static ResponseTimeouts of(Clock clock, Tuning tuning) {
    return new ResponseTimeouts(
        clock, Math.max(Kind.READ.minTimeoutS, tuning.leaseValidityS() - tuning.renewalOverdueS()));
  }

  /** The maximum time-out in seconds. */
  public double maxTimeoutS() {
    return maxTimeoutS;
  }

  /** The time-out in seconds for a call that is sent now. */
  public synchronized double timeoutS(Kind kind) {
    double expectedS = meanS + Math.max(MAX_DEVIATIONS * deviationS, MIN_MARGIN_FRACTION * meanS);
    double minS = kind.backsOff ? Math.max(kind.minTimeoutS, backoffTimeoutS) : kind.minTimeoutS;
    return Math.min(maxTimeoutS, Math.max(minS, expectedS));
  }

  /**
   * Sends a call with the current time-out and records its response time.
   *
   * @param send sends the call, with a time-out in seconds
   */
  public <T> CompletableFuture<Outcome<T>> measure(
      Kind kind, DoubleFunction<CompletableFuture<Outcome<T>>> send) {
    double timeoutS = timeoutS(kind);
    MonotonicTime sent = clock.now();
    return send.apply(timeoutS)
        .whenComplete((outcome, error) -> recordOutcome(outcome, secondsSince(sent), timeoutS));
  }

  /**
   * Records the response time of a call that has its own time-out. An unanswered call is ignored,
   * since its time-out may be far longer than those of other calls.
   */
  public <T> CompletableFuture<Outcome<T>> observe(CompletableFuture<Outcome<T>> call) {
    MonotonicTime sent = clock.now();
    return call.whenComplete(
        (outcome, error) -> recordOutcome(outcome, secondsSince(sent), Double.POSITIVE_INFINITY));
  }

  private double secondsSince(MonotonicTime sent) {
    return clock.now().secondsSince(sent);
  }

  private void recordOutcome(Outcome<?> outcome, double tookS, double timeoutS) {
    if (wasAnswered(outcome)) {
      recordResponse(tookS);
    } else if (tookS >= timeoutS * TIMED_OUT_FRACTION) {
      recordTimeout(timeoutS);
    }
  }

  /** A refusal counts as a response; a call that was never sent or lost its connection does not. */
  private static boolean wasAnswered(Outcome<?> outcome) {
    return outcome instanceof Outcome.Applied
        || (outcome instanceof Outcome.NotApplied<?> not
            && not.reason() != Reason.RATE_LIMITED
            && not.reason() != Reason.NO_CONNECTION);
  }

  /** Records a call that was answered after {@code tookS} seconds. */
  synchronized void recordResponse(double tookS) {
    backoffTimeoutS = 0;
    addSample(tookS);
  }

  /**
   * Records a call that timed out. The first of consecutive time-outs counts as a response time of
   * that length, since otherwise only the fast responses of a store with jitter would be recorded.
   * Further ones are not recorded, since the store may be unreachable and as fast as before once it
   * is reachable again.
   */
  synchronized void recordTimeout(double timeoutS) {
    if (backoffTimeoutS == 0) {
      addSample(timeoutS);
    }
    backoffTimeoutS = Math.max(backoffTimeoutS, Math.min(maxTimeoutS, timeoutS * BACKOFF_FACTOR));
  }

  private void addSample(double tookS) {
    if (!hasSample) {
      hasSample = true;
      meanS = tookS;
      deviationS = tookS / 2;
      return;
    }
    deviationS += DEVIATION_GAIN * (Math.max(0, tookS - meanS) - deviationS);
    meanS += MEAN_GAIN * (tookS - meanS);
  }
}
