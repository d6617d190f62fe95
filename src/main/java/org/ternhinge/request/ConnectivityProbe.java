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
 * Probes the key-value store and the other controllers while neither answers anything by itself, so
 * that {@link NodeConnectivity} is known also on a node without requests.
 */
public final class ConnectivityProbe {
  /** Seconds between two checks. */
  static final double CHECK_INTERVAL_S = 1;

  private static final double PEER_TIMEOUT_S = 0.8;
  private static final Request PROBE = new Request("GET", "/healthz", new byte[0]);

  private final KeyValueStore store;
  private final PeerClient peers;
  private final List<String> otherNodes;
  private final NodeConnectivity connectivity;
  private final Clock clock;
  private final LockedExecutor locked;
  private int nextProbed;

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
    this.locked = new LockedExecutor(lock);
  }

  /** Begins to check at a fixed interval, for as long as the process runs. */
  public void start() {
    clock.schedule(CHECK_INTERVAL_S, this::check);
  }

  private void check() {
    locked.execute(this::probeWhatIsQuiet);
    clock.schedule(CHECK_INTERVAL_S, this::check);
  }

  /** Other controllers matter only while the key-value store is quiet. */
  private void probeWhatIsQuiet() {
    if (!connectivity.isStoreQuiet()) {
      return;
    }
    locked.whenComplete(store.get(Keys.LEADER, RequestPriority.BOOKKEEPING), this::storeAnswered);
    if (connectivity.arePeersQuiet() && !otherNodes.isEmpty()) {
      String node = otherNodes.get(nextProbed++ % otherNodes.size());
      peers.askOrBusy(node, PROBE, PEER_TIMEOUT_S, ignored -> {});
    }
  }

  private void storeAnswered(Outcome<KeyValueStore.ReadResult> outcome) {
    // Where our own token bucket withheld the read, other calls of ours are being answered.
    if (outcome instanceof Outcome.Applied || isRateLimited(outcome)) {
      connectivity.storeAnswered();
    }
  }

  private static boolean isRateLimited(Outcome<KeyValueStore.ReadResult> outcome) {
    return outcome instanceof Outcome.NotApplied<KeyValueStore.ReadResult> notApplied
        && notApplied.reason() == Reason.RATE_LIMITED;
  }
}
