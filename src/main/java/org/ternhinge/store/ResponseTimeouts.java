package org.ternhinge.store;

import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleFunction;
import org.ternhinge.config.Tuning;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.SteadyTime;

/**
 * Adaptive time-outs for calls to the key-value store. Like TCP's retransmission timer they follow
 * a smoothed mean and deviation of the response times and back off when no answer comes, so that a
 * slow store is waited for and a fast one is not. With a fixed time-out below the response time,
 * every call would fail and nobody could lead.
 *
 * <p>Time-outs stay between a floor for each kind of call and a cap that follows from the
 * leadership lease. An unanswered call raises them only until the next answer. Safe for use by
 * several threads.
 */
public final class ResponseTimeouts {

  /** Kinds of calls, each with its shortest time-out in seconds. */
  public enum Kind {
    /** A read that the leadership depends on. */
    READ(1.5, true),
    /** A write that the leadership depends on. */
    WRITE(1.5, true),
    /** Grants or revokes a lease. */
    LEASE(1.0, true),

    /**
     * A read or a write that the leadership does not depend on. Its time-out does not back off,
     * since jobs and users wait for the retry where answers are lost.
     */
    ORDINARY(1.5, false);

    private final double floorS;
    private final boolean backsOff;

    Kind(double floorS, boolean backsOff) {
      this.floorS = floorS;
      this.backsOff = backsOff;
    }

    /** The kind of a read with a priority. */
    public static Kind ofRead(RequestPriority priority) {
      return priority == RequestPriority.RENEWAL ? READ : ORDINARY;
    }

    /** The kind of a write with a priority. */
    public static Kind ofWrite(RequestPriority priority) {
      return priority == RequestPriority.RENEWAL ? WRITE : ORDINARY;
    }
  }

  /** Weight of a new response time in the mean. */
  private static final double MEAN_GAIN = 0.25;

  /** Weight of a new response time in the deviation; lower, so that jitter is remembered longer. */
  private static final double DEVIATION_GAIN = 0.125;

  /**
   * Deviations above the mean that a response may take: about the maximum of the sum of two uniform
   * distributions.
   */
  private static final double MAX_DEVIATIONS = 6;

  /** Fraction of the mean that is always allowed on top of it, however small the deviation is. */
  private static final double MIN_SLACK = 0.5;

  private static final double BACKOFF_FACTOR = 2;

  /** A call that failed after this fraction of its time-out counts as timed out. */
  private static final double TIMED_OUT_FRACTION = 0.99;

  private final Clock clock;
  private final double capS;
  private double meanS;

  /** Mean excess over the mean; answers that are faster than the mean count as no excess. */
  private double deviationS;

  private boolean hasSample;

  /** Time-out after unanswered calls in seconds; 0 once a call was answered. */
  private double backedOffS;

  /**
   * Creates time-outs without any response time yet.
   *
   * @param capS longest time-out in seconds
   */
  public ResponseTimeouts(Clock clock, double capS) {
    this.clock = clock;
    this.capS = capS;
  }

  /**
   * Creates time-outs for the store that holds the leadership lease. The cap is the longest
   * response time at which the lease stays valid until the next renewal is answered: its validity
   * counts from the sending of a renewal, and while answers are late the next renewal is sent that
   * much later.
   */
  public static ResponseTimeouts of(Clock clock, Tuning tuning) {
    return new ResponseTimeouts(
        clock, Math.max(Kind.READ.floorS, tuning.leaseValidityS() - tuning.renewalOverdueS()));
  }

  /** The longest time-out, in seconds. */
  public double capS() {
    return capS;
  }

  /** The time-out in seconds of a call that is sent now. */
  public synchronized double timeoutS(Kind kind) {
    double expected = meanS + Math.max(MAX_DEVIATIONS * deviationS, MIN_SLACK * meanS);
    double floor = kind.backsOff ? Math.max(kind.floorS, backedOffS) : kind.floorS;
    return Math.min(capS, Math.max(floor, expected));
  }

  /**
   * Sends a call with the present time-out and records its response time.
   *
   * @param send sends the call, with a time-out in seconds
   */
  public <T> CompletableFuture<Outcome<T>> measure(
      Kind kind, DoubleFunction<CompletableFuture<Outcome<T>>> send) {
    double timeoutS = timeoutS(kind);
    SteadyTime sent = clock.now();
    return send.apply(timeoutS)
        .whenComplete((outcome, error) -> record(outcome, sinceS(sent), timeoutS));
  }

  /**
   * Records the response time of a call with a time-out of its own. An unanswered one is ignored:
   * it may have waited far longer than other calls do.
   */
  public <T> CompletableFuture<Outcome<T>> observe(CompletableFuture<Outcome<T>> call) {
    SteadyTime sent = clock.now();
    return call.whenComplete(
        (outcome, error) -> record(outcome, sinceS(sent), Double.POSITIVE_INFINITY));
  }

  private double sinceS(SteadyTime sent) {
    return clock.now().secondsSince(sent);
  }

  private void record(Outcome<?> outcome, double tookS, double timeoutS) {
    if (wasAnswered(outcome)) {
      answered(tookS);
    } else if (tookS >= timeoutS * TIMED_OUT_FRACTION) {
      timedOut(timeoutS);
    }
  }

  /** A refusal is an answer too; a call that was never sent or lost its connection is none. */
  private static boolean wasAnswered(Outcome<?> outcome) {
    return outcome instanceof Outcome.Applied
        || (outcome instanceof Outcome.NotApplied<?> not
            && not.reason() != Reason.RATE_LIMITED
            && not.reason() != Reason.NO_CONNECTION);
  }

  /** Records a call that was answered after some seconds. */
  synchronized void answered(double tookS) {
    backedOffS = 0;
    addSample(tookS);
  }

  /**
   * Records a call that timed out. The first one in a row counts as a response of that length,
   * since otherwise only the fast answers of a service with jitter would be recorded. The others do
   * not count: the service may be unreachable, and be as fast as before afterwards.
   */
  synchronized void timedOut(double timeoutS) {
    if (backedOffS == 0) {
      addSample(timeoutS);
    }
    backedOffS = Math.max(backedOffS, Math.min(capS, timeoutS * BACKOFF_FACTOR));
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
