package org.ternhinge.request;

import java.util.HashMap;
import java.util.Map;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.SteadyTime;

/**
 * Tells which workers can't reach the leader. A worker that was sent there and is back soon found
 * nobody; its heartbeats are relayed for a while, so that a cut between two zones does not cost it
 * its lease while a third can reach both. Then it is sent to the leader again.
 */
final class HeartbeatRelay {
  /** A worker waits 4 s for an answer and 1 s before it tries the next node, of which few exist. */
  private static final double BACK_S = 12;

  private static final double RELAY_S = 30;
  private static final int MAX_REDIRECTIONS = 10_000;

  private record Redirection(SteadyTime redirected, SteadyTime relayUntil) {}

  private final Map<MachineId, Redirection> redirections = new HashMap<>();

  /** Whether this heartbeat is to be relayed; otherwise the worker is taken to be redirected. */
  boolean relays(MachineId worker, SteadyTime now) {
    Redirection redirection = redirections.get(worker);
    if (redirection != null
        && redirection.relayUntil != null
        && now.isBefore(redirection.relayUntil)) {
      return true;
    }
    boolean back =
        redirection != null
            && redirection.redirected != null
            && now.secondsSince(redirection.redirected) < BACK_S;
    if (redirections.size() >= MAX_REDIRECTIONS) {
      redirections.clear();
    }
    if (back) {
      redirections.put(worker, new Redirection(null, now.plusSeconds(RELAY_S)));
      return true;
    }
    redirections.put(worker, new Redirection(now, null));
    return false;
  }
}
