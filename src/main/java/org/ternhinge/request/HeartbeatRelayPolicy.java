package org.ternhinge.request;

import java.util.HashMap;
import java.util.Map;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;

/**
 * Decides which workers' heartbeats this node relays to the leader. If a worker returns shortly
 * after it was redirected, it could not reach the leader. Its heartbeats are then relayed for a
 * limited time, so that the worker does not lose its lease during a partition between two zones as
 * long as a third zone can reach both. Afterwards it is redirected again. Guarded by the
 * controller's lock.
 */
final class HeartbeatRelayPolicy {
  /**
   * A worker that returns within this time of a redirect could not reach the leader. It waits 4 s
   * for a response and 1 s before it tries the next of a few nodes.
   */
  private static final double RETURN_WINDOW_S = 12;

  private static final double RELAY_DURATION_S = 30;

  /** Limits the memory used for workers that never return. */
  private static final int MAX_WORKERS = 10_000;

  /** The last decision for a worker. */
  private sealed interface Decision permits Redirected, Relayed {}

  private record Redirected(MonotonicTime at) implements Decision {}

  private record Relayed(MonotonicTime until) implements Decision {}

  private final Map<MachineId, Decision> decisions = new HashMap<>();

  /** Whether the caller is to relay this heartbeat; otherwise it redirects the worker. */
  boolean shouldRelay(MachineId worker, MonotonicTime now) {
    Decision last = decisions.get(worker);
    if (last instanceof Relayed relayed && now.isBefore(relayed.until())) {
      return true;
    }
    boolean returnedSoon =
        last instanceof Redirected redirected
            && now.secondsSince(redirected.at()) < RETURN_WINDOW_S;
    if (decisions.size() >= MAX_WORKERS) {
      decisions.clear();
    }
    decisions.put(
        worker,
        returnedSoon ? new Relayed(now.plusSeconds(RELAY_DURATION_S)) : new Redirected(now));
    return returnedSoon;
  }
}
