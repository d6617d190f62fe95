package org.ternhinge.request;

import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;

/**
 * When the key-value store and the other controllers answered this node last, and what follows from
 * that. A node that reaches neither can only answer 503, and users whose connections it holds would
 * get nothing else for as long as that lasts, so it must not count as healthy. An outage of the
 * key-value store alone is no reason: it affects all nodes, and while all are unhealthy nobody is
 * served. All methods run under the controller's lock.
 */
public final class NodeConnectivity {
  /** Seconds without an answer after which one is asked for. */
  static final double QUIET_S = 2;

  /** Seconds without any answer after which this node counts as isolated. */
  private static final double ISOLATED_S = 5;

  /**
   * Longer than the time between two answers of a key-value store that is probed once it is quiet.
   */
  private static final double STORE_UNRESPONSIVE_S =
      QUIET_S + ConnectivityProbe.CHECK_INTERVAL_S + 0.5;

  private final Clock clock;
  private final boolean hasPeers;
  private MonotonicTime storeAnsweredAt;
  private MonotonicTime peerAnsweredAt;

  /**
   * Creates the state of a node that has just been answered by all.
   *
   * @param hasPeers whether other controllers are configured; a single one is never isolated
   */
  public NodeConnectivity(Clock clock, boolean hasPeers) {
    this.clock = clock;
    this.hasPeers = hasPeers;
    this.storeAnsweredAt = clock.now();
    this.peerAnsweredAt = clock.now();
  }

  /** The key-value store has answered something. */
  void storeAnswered() {
    storeAnsweredAt = clock.now();
  }

  /** Another controller has answered something. */
  void peerAnswered() {
    peerAnsweredAt = clock.now();
  }

  /** Whether the key-value store has not answered for so long that a probe is due. */
  boolean isStoreQuiet() {
    return secondsSince(storeAnsweredAt) > QUIET_S;
  }

  /** Whether no other controller has answered for so long that a probe is due. */
  boolean arePeersQuiet() {
    return secondsSince(peerAnsweredAt) > QUIET_S;
  }

  /** Whether the key-value store has not answered for longer than it ever takes. */
  boolean isStoreUnresponsive() {
    return secondsSince(storeAnsweredAt) > STORE_UNRESPONSIVE_S;
  }

  /** Whether neither the key-value store nor any other controller has answered for long. */
  public boolean isIsolated() {
    return hasPeers
        && secondsSince(storeAnsweredAt) > ISOLATED_S
        && secondsSince(peerAnsweredAt) > ISOLATED_S;
  }

  private double secondsSince(MonotonicTime answeredAt) {
    return clock.now().secondsSince(answeredAt);
  }
}
