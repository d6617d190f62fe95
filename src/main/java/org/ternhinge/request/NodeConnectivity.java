package org.ternhinge.request;

import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;

/**
 * Records when the key-value store and the other controllers last responded to this node, and
 * derives from that whether the node is isolated. A node that reaches neither can only respond with
 * 503, and users connected to it would get nothing else as long as that lasts, so it must not count
 * as healthy. An outage of the key-value store alone does not make a node unhealthy: it affects all
 * nodes, and if all were unhealthy no user would be served. All methods run under the controller's
 * lock.
 */
public final class NodeConnectivity {
  /** Seconds without a response after which a probe is sent. */
  static final double PROBE_AFTER_S = 2;

  /** Seconds without any response after which this node counts as isolated. */
  private static final double ISOLATED_AFTER_S = 5;

  /**
   * Longer than the time between two responses of a reachable key-value store, which is probed when
   * it has not responded to other calls.
   */
  private static final double STORE_UNRESPONSIVE_AFTER_S =
      PROBE_AFTER_S + ConnectivityProbe.CHECK_INTERVAL_S + 0.5;

  private final Clock clock;
  private final boolean hasPeers;
  private MonotonicTime lastStoreResponseAt;
  private MonotonicTime lastPeerResponseAt;

  /**
   * Creates the state of a node that is regarded as connected until the first time limit passes.
   *
   * @param hasPeers whether other controllers are configured; a single controller is never isolated
   */
  public NodeConnectivity(Clock clock, boolean hasPeers) {
    this.clock = clock;
    this.hasPeers = hasPeers;
    this.lastStoreResponseAt = clock.now();
    this.lastPeerResponseAt = clock.now();
  }

  /** Records a response of the key-value store. */
  void recordStoreResponse() {
    lastStoreResponseAt = clock.now();
  }

  /** Records a response of another controller. */
  void recordPeerResponse() {
    lastPeerResponseAt = clock.now();
  }

  /** Whether the key-value store has not responded for so long that a probe is due. */
  boolean isStoreProbeDue() {
    return secondsSince(lastStoreResponseAt) > PROBE_AFTER_S;
  }

  /** Whether no other controller has responded for so long that a probe is due. */
  boolean isPeerProbeDue() {
    return secondsSince(lastPeerResponseAt) > PROBE_AFTER_S;
  }

  /**
   * Whether the key-value store has not responded for longer than probes of a reachable store
   * allow.
   */
  boolean isStoreUnresponsive() {
    return secondsSince(lastStoreResponseAt) > STORE_UNRESPONSIVE_AFTER_S;
  }

  /** Whether neither the key-value store nor any other controller has responded for some time. */
  public boolean isIsolated() {
    return hasPeers
        && secondsSince(lastStoreResponseAt) > ISOLATED_AFTER_S
        && secondsSince(lastPeerResponseAt) > ISOLATED_AFTER_S;
  }

  private double secondsSince(MonotonicTime responseAt) {
    return clock.now().secondsSince(responseAt);
  }
}
