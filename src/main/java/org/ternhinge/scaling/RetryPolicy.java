package org.ternhinge.scaling;

import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;

/**
 * Delays before requests to the cloud that were not applied are retried. A rate-limited request is
 * retried soon, since it only waits for its turn.
 *
 * @param failedDelayS delay in seconds after any failure other than rate limiting
 */
record RetryPolicy(double failedDelayS) {
  /** Delay in seconds before a rate-limited request is retried. */
  static final double RATE_LIMITED_DELAY_S = 0.3;

  /**
   * Policy for requests that change the fleet. These are recorded and retried until they are
   * settled.
   */
  static final RetryPolicy RECORDED_REQUESTS = new RetryPolicy(1.5);

  /**
   * Returns whether a request was not sent because of the rate limit.
   *
   * @param outcome the outcome of the request
   */
  static boolean isRateLimited(Outcome<?> outcome) {
    return outcome.isNotApplied(Reason.RATE_LIMITED);
  }

  /**
   * Returns the delay in seconds before a request is retried.
   *
   * @param outcome the outcome of the request
   */
  double delayS(Outcome<?> outcome) {
    return isRateLimited(outcome) ? RATE_LIMITED_DELAY_S : failedDelayS;
  }
}
