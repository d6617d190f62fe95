package org.ternhinge.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.http.Request;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.WireException;

/**
 * The last heartbeat of each machine, and the late copies of heartbeats that the network delivers.
 */
final class HeartbeatHistory {
  /** Copies are from one second to one second and so many leases late. */
  private static final double LATEST_LEASES = 2.5;

  private final SimCluster cluster;
  private final Map<MachineId, byte[]> last = new HashMap<>();
  private double copyShare;
  private SteadyTime copyUntil;

  HeartbeatHistory(SimCluster cluster) {
    this.cluster = cluster;
  }

  /** For a while a share of all reports arrives once more, from a second to leases late. */
  void copy(double share, double seconds) {
    copyShare = share;
    copyUntil = cluster.clock.now().plusSeconds(seconds);
  }

  /** A machine sends a heartbeat, of which a copy may arrive later. */
  void sent(MachineId from, byte[] heartbeat) {
    cluster.counts.heartbeat();
    last.put(from, heartbeat);
    boolean copies = copyUntil != null && !copyUntil.isBefore(cluster.clock.now());
    if (copies && cluster.random.nextDouble() < copyShare) {
      double late = 1 + cluster.random.nextDouble() * LATEST_LEASES * ClusterSettings.LEASE_S;
      int to = cluster.random.nextInt(cluster.nodeCount());
      cluster.clock.after(late, () -> cluster.deliver(to, request(heartbeat), answer -> {}));
    }
  }

  /** A copy of a machine's last heartbeat reaches every controller. */
  void repeatLast(MachineId id) {
    for (int i = 0; i < cluster.nodeCount(); i++) {
      cluster.deliver(i, request(last.get(id)), answer -> {});
    }
  }

  Heartbeat last(MachineId id) {
    try {
      return Heartbeat.read(last.get(id));
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Machines that have ever reported, in order. */
  List<MachineId> machines() {
    return last.keySet().stream().sorted().toList();
  }

  /** The request that brings a report to a controller. */
  static Request request(byte[] heartbeat) {
    return new Request("POST", "/agent/beat", heartbeat);
  }
}
