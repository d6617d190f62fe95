package org.ternhinge.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.http.Request;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.WireException;

/** The last heartbeat of each machine, and duplicates that the network delivers late. */
final class HeartbeatHistory {
  /** Upper bound on the delay of a duplicate beyond one second, in worker leases. */
  private static final double MAX_DUPLICATE_DELAY_LEASES = 2.5;

  private final SimCluster cluster;
  private final Map<MachineId, byte[]> last = new HashMap<>();
  private double duplicateShare;
  private MonotonicTime duplicateUntil;

  HeartbeatHistory(SimCluster cluster) {
    this.cluster = cluster;
  }

  /**
   * Duplicates a share of all heartbeats for a while; duplicates arrive from one second to several
   * leases late.
   */
  void duplicate(double share, double seconds) {
    duplicateShare = share;
    duplicateUntil = cluster.clock.now().plusSeconds(seconds);
  }

  /** Records a heartbeat that a machine sends, and may schedule a late duplicate. */
  void recordSent(MachineId from, byte[] heartbeat) {
    cluster.counts.countHeartbeat();
    last.put(from, heartbeat);
    boolean isDuplicated = duplicateUntil != null && !duplicateUntil.isBefore(cluster.clock.now());
    if (isDuplicated && cluster.random.nextDouble() < duplicateShare) {
      double delayS =
          1 + cluster.random.nextDouble() * MAX_DUPLICATE_DELAY_LEASES * ClusterSettings.LEASE_S;
      int to = cluster.random.nextInt(cluster.nodeCount());
      cluster.clock.schedule(
          delayS, () -> cluster.controllers.deliver(to, request(heartbeat), answer -> {}));
    }
  }

  /** Delivers a duplicate of a machine's last heartbeat to every controller. */
  void resendLast(MachineId id) {
    for (int i = 0; i < cluster.nodeCount(); i++) {
      cluster.controllers.deliver(i, request(last.get(id)), answer -> {});
    }
  }

  Heartbeat last(MachineId id) {
    try {
      return Heartbeat.read(last.get(id));
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Machines that have ever sent a heartbeat, ordered by name. */
  List<MachineId> machines() {
    return last.keySet().stream().sorted().toList();
  }

  /** The request that carries a heartbeat to a controller. */
  static Request request(byte[] heartbeat) {
    return new Request("POST", "/agent/beat", heartbeat);
  }
}
