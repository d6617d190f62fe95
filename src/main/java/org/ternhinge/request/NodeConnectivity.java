package org.ternhinge.request;

import java.util.List;
import java.util.concurrent.locks.Lock;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.ledger.Keys;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.store.KeyValueStore;

/**
 * Whether this node can answer users at all. One that reaches neither the key-value store nor any
 * other controller can only say 503; users whose connections it holds would hear nothing else for
 * as long as that lasts, so it must not count as healthy. An outage of the key-value store alone is
 * no reason: it meets all nodes, and while all are unhealthy nobody is served.
 */
public final class NodeConnectivity {
  private static final double CHECK_INTERVAL_S = 1;

  /** As long without an answer before one is asked for. */
  private static final double QUIET_S = 2;

  /** As long without any answer before this node takes itself for cut off. */
  private static final double ALONE_S = 5;

  /**
   * Longer than the time between two answers of a key-value store that is asked once it is quiet.
   */
  private static final double STORE_SILENT_S = QUIET_S + CHECK_INTERVAL_S + 0.5;

  private static final double PEER_TIMEOUT_S = 0.8;
  private static final Request PROBE = new Request("GET", "/healthz", new byte[0]);

  private final KeyValueStore store;
  private final PeerTransport peers;
  private final List<String> otherNodes;
  private final Clock clock;
  private final LockedExecutor locked;
  private SteadyTime storeAnsweredAt;
  private SteadyTime peerAnsweredAt;
  private int nextProbed;

  public NodeConnectivity(
      KeyValueStore store, PeerTransport peers, List<String> otherNodes, Clock clock, Lock lock) {
    this.store = store;
    this.peers = peers;
    this.otherNodes = otherNodes;
    this.clock = clock;
    this.locked = new LockedExecutor(lock);
    this.storeAnsweredAt = clock.now();
    this.peerAnsweredAt = clock.now();
  }

  public void start() {
    clock.after(CHECK_INTERVAL_S, this::check);
  }

  /** The other controllers have answered something. */
  void peerAnswered() {
    peerAnsweredAt = clock.now();
  }

  /** Whether the key-value store owes this node an answer for longer than it ever takes. */
  boolean storeSilent() {
    return silentFor(storeAnsweredAt) > STORE_SILENT_S;
  }

  /** Whether neither the key-value store nor any other controller has answered for long. */
  public boolean alone() {
    return !otherNodes.isEmpty()
        && silentFor(storeAnsweredAt) > ALONE_S
        && silentFor(peerAnsweredAt) > ALONE_S;
  }

  private double silentFor(SteadyTime answeredAt) {
    return clock.now().secondsSince(answeredAt);
  }

  private void check() {
    locked.execute(this::probeWhatIsQuiet);
    clock.after(CHECK_INTERVAL_S, this::check);
  }

  /** Other controllers matter only while the key-value store is quiet. */
  private void probeWhatIsQuiet() {
    if (silentFor(storeAnsweredAt) <= QUIET_S) {
      return;
    }
    locked.whenAnswered(store.get(Keys.LEADER, RequestPriority.BOOKKEEPING), this::storeAnswered);
    if (silentFor(peerAnsweredAt) > QUIET_S && !otherNodes.isEmpty()) {
      String node = otherNodes.get(nextProbed++ % otherNodes.size());
      peers.ask(node, PROBE, PEER_TIMEOUT_S, response -> probed(node, response));
    }
  }

  private void storeAnswered(Outcome<KeyValueStore.Read> outcome) {
    // Held back by our own bucket: others of our calls are being answered.
    if (outcome instanceof Outcome.Applied
        || (outcome != null && outcome.isBecause(Reason.RATE_LIMITED))) {
      storeAnsweredAt = clock.now();
    }
  }

  private void probed(String node, Response response) {
    if (response == null) {
      peers.reset(node);
    } else {
      locked.execute(this::peerAnswered);
    }
  }
}
