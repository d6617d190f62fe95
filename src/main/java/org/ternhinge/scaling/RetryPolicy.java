package org.ternhinge.scaling;

import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;

/**
 * The delay before a request to the cloud that was not carried out is sent again. A request that
 * the rate limit held back is sent again soon, since it only waits for its turn.
 *
 * @param failedDelayS delay in seconds after any failure but the rate limit
 */
record RetryPolicy(double failedDelayS) {
  /** Seconds until a request that exceeded the cloud's rate limit is sent again. */
  static final double RATE_LIMITED_DELAY_S = 0.3;

  /** For requests that change the fleet: they are recorded, and repeated until they are settled. */
  static final RetryPolicy RECORDED_REQUESTS = new RetryPolicy(1.5);

  /**
   * Whether the rate limit held a request back, so that it was not sent.
   *
   * @param outcome of the request
   */
  static boolean isRateLimited(Outcome<?> outcome) {
    return outcome.isNotApplied(Reason.RATE_LIMITED);
  }

  /**
   * Seconds until a request is sent again.
   *
   * @param outcome of the request
   */
  double delayS(Outcome<?> outcome) {
    return isRateLimited(outcome) ? RATE_LIMITED_DELAY_S : failedDelayS;
  }
}
