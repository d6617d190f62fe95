package org.ternhinge.request;

import java.util.List;
import java.util.concurrent.locks.Lock;
import org.ternhinge.http.Request;
import org.ternhinge.ledger.Keys;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.store.KeyValueStore;

/**
 * Probes the key-value store and the other controllers when no recent response to other calls shows
 * that they are reachable, so that {@link NodeConnectivity} is up to date on a node without
 * requests too.
 */
public final class ConnectivityProbe {
  /** Interval in seconds of the checks whether a probe is due. */
  static final double CHECK_INTERVAL_S = 1;

  private static final double PEER_TIMEOUT_S = 0.8;
  private static final Request PROBE_REQUEST = new Request("GET", "/healthz", new byte[0]);

  private final KeyValueStore store;
  private final PeerClient peers;
  private final List<String> otherNodes;
  private final NodeConnectivity connectivity;
  private final Clock clock;
  private final LockedExecutor lockedExecutor;
  private int nextProbedIndex;

  /**
   * Creates a probe that is not started.
   *
   * @param otherNodes names of all other controllers
   * @param lock the controller's lock
   */
  public ConnectivityProbe(
      KeyValueStore store,
      PeerClient peers,
      List<String> otherNodes,
      NodeConnectivity connectivity,
      Clock clock,
      Lock lock) {
    this.store = store;
    this.peers = peers;
    this.otherNodes = otherNodes;
    this.connectivity = connectivity;
    this.clock = clock;
    this.lockedExecutor = new LockedExecutor(lock);
  }

  /** Starts the checks at a fixed interval, for the lifetime of the process. */
  public void start() {
    clock.schedule(CHECK_INTERVAL_S, this::check);
  }

  private void check() {
    lockedExecutor.execute(this::probeIfDue);
    clock.schedule(CHECK_INTERVAL_S, this::check);
  }

  /** Other controllers are probed only while the key-value store does not respond. */
  private void probeIfDue() {
    if (!connectivity.isStoreProbeDue()) {
      return;
    }
    lockedExecutor.whenComplete(
        store.get(Keys.LEADER, RequestPriority.BOOKKEEPING), this::handleStoreResponse);
    if (connectivity.isPeerProbeDue() && !otherNodes.isEmpty()) {
      String node = otherNodes.get(nextProbedIndex++ % otherNodes.size());
      peers.sendOrBusy(node, PROBE_REQUEST, PEER_TIMEOUT_S, ignored -> {});
    }
  }

  private void handleStoreResponse(Outcome<KeyValueStore.ReadResult> outcome) {
    // If the local token bucket withheld the read, other calls of this node are being answered.
    if (outcome instanceof Outcome.Applied || isRateLimited(outcome)) {
      connectivity.recordStoreResponse();
    }
  }

  private static boolean isRateLimited(Outcome<KeyValueStore.ReadResult> outcome) {
    return outcome instanceof Outcome.NotApplied<KeyValueStore.ReadResult> notApplied
        && notApplied.reason() == Reason.RATE_LIMITED;
  }
}
