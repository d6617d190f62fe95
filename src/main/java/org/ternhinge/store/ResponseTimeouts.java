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
 * How long to wait for the key-value store's answers, by how long they have taken lately. Like
 * TCP's retransmission timer it follows a smoothed mean and deviation of the response times and
 * backs off when no answer comes, so that a slow service is waited for and a quick one is not. A
 * fixed time-out below the response time would give up every call, and nobody could lead.
 *
 * <p>Time-outs stay between a floor for each kind of call and a cap that the leadership lease sets.
 * One unanswered call raises them only until the next answer. Safe for use by several threads.
 */
public final class ResponseTimeouts {

  /** Kinds of calls, by the shortest time-out of each, in seconds. */
  public enum Kind {
    READ(1.5, true),
    WRITE(1.5, true),
    LEASE(1.0, true),

    /**
     * A read or a write that no leadership hangs on. It doesn't back off: where answers are lost,
     * jobs and users wait for the next try. That the service is slow is learnt from the answers to
     * the calls that do.
     */
    ORDINARY(1.5, false);

    private final double floorS;
    private final boolean backsOff;

    Kind(double floorS, boolean backsOff) {
      this.floorS = floorS;
      this.backsOff = backsOff;
    }

    /** The kind of a read of this priority. */
    public static Kind ofRead(RequestPriority priority) {
      return priority == RequestPriority.RENEWAL ? READ : ORDINARY;
    }

    /** The kind of a write of this priority. */
    public static Kind ofWrite(RequestPriority priority) {
      return priority == RequestPriority.RENEWAL ? WRITE : ORDINARY;
    }
  }

  /** Weight of a new response time in the mean. */
  private static final double MEAN_GAIN = 0.25;

  /** Weight of a new response time in the deviation, which is to outlast a few even responses. */
  private static final double DEVIATION_GAIN = 0.125;

  /** Deviations above the mean that a response may take: about the most of two even spreads. */
  private static final double DEVIATIONS = 6;

  /** At least this share of the mean is allowed on top of it, however even the responses are. */
  private static final double MIN_SLACK = 0.5;

  private static final double BACKOFF = 2;

  private final Clock clock;
  private final double capS;
  private double meanS;

  /**
   * Mean excess over the mean. An answer that is quicker than usual is no reason to wait longer.
   */
  private double deviationS;

  private boolean anySample;

  /** Time-out after unanswered calls; 0 once a call was answered. */
  private double backedOffS;

  /**
   * Creates time-outs that have seen no answer yet.
   *
   * @param capS longest time-out, in seconds
   */
  public ResponseTimeouts(Clock clock, double capS) {
    this.clock = clock;
    this.capS = capS;
  }

  /**
   * Time-outs for a service that holds the leadership lease. The cap is what a response may take if
   * the lease is to hold until the next one: validity counts from the sending of a renewal, and
   * while answers are late the next renewal is sent, and answered, so much later.
   */
  public static ResponseTimeouts of(Clock clock, Tuning tuning) {
    return new ResponseTimeouts(
        clock, Math.max(Kind.READ.floorS, tuning.validityS() - tuning.renewalOverdueS()));
  }

  /** The longest time-out, in seconds. */
  public double capS() {
    return capS;
  }

  /** The time-out of a call that is sent now, in seconds. */
  public synchronized double timeoutS(Kind kind) {
    double expected = meanS + Math.max(DEVIATIONS * deviationS, MIN_SLACK * meanS);
    double least = kind.backsOff ? Math.max(kind.floorS, backedOffS) : kind.floorS;
    return Math.min(capS, Math.max(least, expected));
  }

  /**
   * Sends a call with the present time-out and learns from its outcome.
   *
   * @param send gets the time-out in seconds
   */
  public <T> CompletableFuture<Outcome<T>> measure(
      Kind kind, DoubleFunction<CompletableFuture<Outcome<T>>> send) {
    double timeoutS = timeoutS(kind);
    SteadyTime sent = clock.now();
    return send.apply(timeoutS)
        .whenComplete((outcome, error) -> learn(outcome, sinceS(sent), timeoutS));
  }

  /**
   * Learns from a call with a time-out of its own. That it was not answered tells nothing then: it
   * may have waited far longer than others do.
   */
  public <T> CompletableFuture<Outcome<T>> observe(CompletableFuture<Outcome<T>> call) {
    SteadyTime sent = clock.now();
    return call.whenComplete(
        (outcome, error) -> learn(outcome, sinceS(sent), Double.POSITIVE_INFINITY));
  }

  private double sinceS(SteadyTime sent) {
    return clock.now().secondsSince(sent);
  }

  private void learn(Outcome<?> outcome, double tookS, double timeoutS) {
    if (wasAnswered(outcome)) {
      answered(tookS);
    } else if (tookS >= timeoutS * 0.99) {
      timedOut(timeoutS);
    }
  }

  /** A refusal is an answer too; what was never sent, or broke off, tells nothing of the speed. */
  private static boolean wasAnswered(Outcome<?> outcome) {
    return outcome instanceof Outcome.Applied
        || (outcome instanceof Outcome.NotApplied<?> not
            && not.reason() != Reason.RATE_LIMITED
            && not.reason() != Reason.NO_CONNECTION);
  }

  /** A call was answered after so many seconds. */
  synchronized void answered(double tookS) {
    backedOffS = 0;
    sample(tookS);
  }

  /**
   * A call was given up after so many seconds. The first in a row counts as a response of that
   * length, for otherwise only the quick answers of an uneven service would be seen. The others
   * don't: the service may be out of reach, and its speed afterwards is that of before.
   */
  synchronized void timedOut(double timeoutS) {
    if (backedOffS == 0) {
      sample(timeoutS);
    }
    backedOffS = Math.max(backedOffS, Math.min(capS, timeoutS * BACKOFF));
  }

  private void sample(double tookS) {
    if (!anySample) {
      anySample = true;
      meanS = tookS;
      deviationS = tookS / 2;
      return;
    }
    deviationS += DEVIATION_GAIN * (Math.max(0, tookS - meanS) - deviationS);
    meanS += MEAN_GAIN * (tookS - meanS);
  }
}
