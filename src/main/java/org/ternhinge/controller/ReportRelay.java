package org.ternhinge.controller;

import java.util.HashMap;
import java.util.Map;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.SteadyTime;

/**
 * Tells which workers can't reach the leader. A worker that was sent there and is back soon found
 * nobody; its reports are relayed for a while, so that a cut between two zones does not cost it its
 * lease while a third can reach both. Then it is sent to the leader again.
 */
final class ReportRelay {
  /** A worker waits 4 s for an answer and 1 s before it tries the next node, of which few exist. */
  private static final double BACK_S = 12;

  private static final double RELAY_S = 30;
  private static final int MOST = 10_000;

  private record Detour(SteadyTime redirected, SteadyTime relayUntil) {}

  private final Map<MachineId, Detour> detours = new HashMap<>();

  /** Whether this report is to be relayed; otherwise the worker is taken to be redirected. */
  boolean relays(MachineId worker, SteadyTime now) {
    Detour detour = detours.get(worker);
    if (detour != null && detour.relayUntil != null && now.isBefore(detour.relayUntil)) {
      return true;
    }
    boolean back =
        detour != null && detour.redirected != null && now.secondsSince(detour.redirected) < BACK_S;
    if (detours.size() >= MOST) {
      detours.clear();
    }
    if (back) {
      detours.put(worker, new Detour(null, now.plusSeconds(RELAY_S)));
      return true;
    }
    detours.put(worker, new Detour(now, null));
    return false;
  }
}
