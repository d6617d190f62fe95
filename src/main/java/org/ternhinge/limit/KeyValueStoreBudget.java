package org.ternhinge.limit;

import org.ternhinge.model.Clock;

/**
 * This controller's share of the key-value store's rate limits, for requests and for changes. The
 * leader has a fixed share and the other controllers divide the rest evenly, so that all
 * controllers together never exceed the limits, in rate or in bursts, whichever node leads. Shares
 * are fixed rather than negotiated, so that a controller that can't reach the others still knows
 * its own share.
 *
 * <p>Safe for use by several threads.
 */
public final class KeyValueStoreBudget {
  /** The leader writes all attempts and completions, the other controllers only submissions. */
  private static final double LEADER_SHARE = 0.7;

  private final TokenBucket requests;
  private final TokenBucket changes;
  private final double requestsPerS;
  private final double changesPerS;
  private final double followerShare;

  /**
   * Creates the budget of a controller that does not lead.
   *
   * @param requestsPerS requests per second that the key-value store accepts from all controllers
   * @param changesPerS puts and deletes per second that it accepts from all controllers
   * @param otherControllers number of the other controllers
   */
  public KeyValueStoreBudget(
      Clock clock, double requestsPerS, double changesPerS, int otherControllers) {
    this.requestsPerS = requestsPerS;
    this.changesPerS = changesPerS;
    this.followerShare = (1 - LEADER_SHARE) / Math.max(1, otherControllers);
    this.requests = new TokenBucket(clock, requestsPerS * followerShare);
    this.changes = new TokenBucket(clock, changesPerS * followerShare);
  }

  /** Tokens for requests of any kind. */
  public TokenBucket requests() {
    return requests;
  }

  /** Tokens for single puts and deletes. */
  public TokenBucket changes() {
    return changes;
  }

  /** Switches to the leader's share or back to a follower's. */
  public void setLeading(boolean leading) {
    double share = leading ? LEADER_SHARE : followerShare;
    requests.setRate(requestsPerS * share);
    changes.setRate(changesPerS * share);
  }
}
