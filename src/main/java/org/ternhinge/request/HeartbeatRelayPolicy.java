package org.ternhinge.request;

import java.util.HashMap;
import java.util.Map;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;

/**
 * Decides which workers' heartbeats this node relays to the leader. A worker that was redirected to
 * the leader and soon comes back could not reach it; its heartbeats are relayed for a while, so
 * that a partition between two zones does not cost it its lease while a third zone can reach both.
 * Then it is redirected again. Guarded by the controller's lock.
 */
final class HeartbeatRelayPolicy {
  /** A worker waits 4 s for an answer and 1 s before it tries the next node, of which few exist. */
  private static final double RETURN_S = 12;

  private static final double RELAY_S = 30;

  /** Bounds the memory for workers that never come back. */
  private static final int MAX_WORKERS = 10_000;

  /** What was last decided for a worker. */
  private sealed interface Decision permits Redirected, Relayed {}

  private record Redirected(MonotonicTime at) implements Decision {}

  private record Relayed(MonotonicTime until) implements Decision {}

  private final Map<MachineId, Decision> decisions = new HashMap<>();

  /** Whether this heartbeat is to be relayed; otherwise the caller redirects the worker. */
  boolean shouldRelay(MachineId worker, MonotonicTime now) {
    Decision last = decisions.get(worker);
    if (last instanceof Relayed relayed && now.isBefore(relayed.until())) {
      return true;
    }
    boolean cameBack =
        last instanceof Redirected redirected && now.secondsSince(redirected.at()) < RETURN_S;
    if (decisions.size() >= MAX_WORKERS) {
      decisions.clear();
    }
    decisions.put(worker, cameBack ? new Relayed(now.plusSeconds(RELAY_S)) : new Redirected(now));
    return cameBack;
  }
}
