package org.ternhinge.controller;

import java.util.List;
import java.util.concurrent.locks.Lock;
import org.ternhinge.http.Request;
import org.ternhinge.ledger.Keys;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.state.StateStore;

/**
 * Whether this node can answer users at all. One that reaches neither the state service nor any
 * other controller can only say 503; users whose connections it holds would hear nothing else for
 * as long as that lasts, so it must not count as healthy. An outage of the state service alone is
 * no reason: it meets all nodes, and while all are unhealthy nobody is served.
 */
final class NodeConnectivity {
  private static final double TICK_S = 1;

  /** As long without an answer before one is asked for. */
  private static final double QUIET_S = 2;

  /** As long without any answer before this node takes itself for cut off. */
  private static final double ALONE_S = 5;

  /** Longer than the time between two answers of a state service that is asked once it is quiet. */
  private static final double STATE_SILENT_S = QUIET_S + TICK_S + 0.5;

  private static final double ASK_S = 0.8;

  private final StateStore store;
  private final ControllerNode.Peers peers;
  private final List<String> names;
  private final Clock clock;
  private final Lock lock;
  private SteadyTime state;
  private SteadyTime peer;
  private int next;

  NodeConnectivity(
      StateStore store, ControllerNode.Peers peers, List<String> names, Clock clock, Lock lock) {
    this.store = store;
    this.peers = peers;
    this.names = names;
    this.clock = clock;
    this.lock = lock;
    this.state = clock.now();
    this.peer = clock.now();
  }

  void start() {
    clock.after(TICK_S, this::tick);
  }

  /** The other controllers have answered something. */
  void peerAnswered() {
    peer = clock.now();
  }

  /** Whether the state service owes this node an answer for longer than it ever takes. */
  boolean stateSilent() {
    return clock.now().secondsSince(state) > STATE_SILENT_S;
  }

  boolean alone() {
    SteadyTime now = clock.now();
    return !names.isEmpty()
        && now.secondsSince(state) > ALONE_S
        && now.secondsSince(peer) > ALONE_S;
  }

  private void locked(Runnable action) {
    lock.lock();
    try {
      action.run();
    } finally {
      lock.unlock();
    }
  }

  private void tick() {
    locked(
        () -> {
          SteadyTime now = clock.now();
          if (now.secondsSince(state) > QUIET_S) {
            store
                .get(Keys.LEADER, RequestPriority.BOOKKEEPING)
                .whenComplete((o, e) -> locked(() -> stateSaid(o)));
            if (now.secondsSince(peer) > QUIET_S && !names.isEmpty()) {
              String name = names.get(next++ % names.size());
              peers.ask(
                  name,
                  new Request("GET", "/healthz", new byte[0]),
                  ASK_S,
                  r -> {
                    if (r == null) {
                      peers.reset(name);
                    } else {
                      locked(this::peerAnswered);
                    }
                  });
            }
          }
        });
    clock.after(TICK_S, this::tick);
  }

  private void stateSaid(Outcome<StateStore.Read> outcome) {
    // Held back by our own bucket: others of our calls are being answered.
    if (outcome instanceof Outcome.Applied
        || (outcome != null && outcome.isBecause(Reason.HELD_BACK))) {
      state = clock.now();
    }
  }
}
