package org.ternhinge.controller;

import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;

/** Injects random faults of one kind, step by step. */
final class SeededFaults {
  /**
   * Refusals of successive leaders last two minutes; later ones would outlast the steps with
   * faults.
   */
  private static final int LAST_STEP_OF_REFUSED_LEADERS = 55;

  private final SimCluster cluster;
  private final SimUsers users;
  private final FaultKind kind;

  SeededFaults(SimCluster cluster, SimUsers users, FaultKind kind) {
    this.cluster = cluster;
    this.users = users;
    this.kind = kind;
  }

  /** Injects the random faults of one step. */
  void step(int step) {
    basic(kind);
    if (kind == FaultKind.COMBINED && oneIn(3)) {
      basic(FaultKind.BASIC);
    }
    lateWrites();
    lostHeartbeats();
    hangs();
    slowStore();
    delayedHeartbeats();
    zoneCuts();
    refusedLeaders(step);
    partitionedZones();
  }

  private boolean oneIn(int steps) {
    return cluster.nextInt(steps) == 0;
  }

  private int randomController() {
    return cluster.nextInt(cluster.nodeCount());
  }

  /** A random number of seconds, at least {@code min} and less than {@code min + spread}. */
  private int randomSeconds(int min, int spread) {
    return min + cluster.nextInt(spread);
  }

  // ---- basic faults ---------------------------------------------------------------------------

  private void basic(FaultKind which) {
    if (which.includesBasic(FaultKind.CONTROLLER_CRASHES) && oneIn(8)) {
      cluster.controllers.crash(randomController(), oneIn(2) ? 0.3 : 5);
    }
    if (which.includesBasic(FaultKind.CONNECTION_CUTS)) {
      connectionCuts();
    }
    if (which.includesBasic(FaultKind.LOST_COMMANDS) && oneIn(8)) {
      cluster.machineFaults.dropInboundOfRandomWorker(randomSeconds(5, 50));
    }
    if (which.includesBasic(FaultKind.DUPLICATE_HEARTBEATS) && oneIn(10)) {
      cluster.machineFaults.duplicateHeartbeats(0.3, randomSeconds(5, 20));
    }
    if (which.includesBasic(FaultKind.ISOLATED_CONTROLLERS) && oneIn(10)) {
      cluster.networkFaults.isolate(randomController(), randomSeconds(5, 50));
    }
    if (which.includesBasic(FaultKind.STORE_OUTAGES) && oneIn(25)) {
      cluster.storeFaults.outage(randomSeconds(5, 30));
    }
  }

  private void connectionCuts() {
    if (oneIn(10)) {
      cluster.networkFaults.isolateFromWorkers(randomController(), randomSeconds(5, 30));
    }
    if (oneIn(10)) {
      cluster.storeFaults.refuse(randomController(), randomSeconds(5, 20));
    }
    if (oneIn(8)) {
      cluster.machineFaults.isolateOrTerminateRandomWorker(oneIn(3) ? 0 : randomSeconds(5, 40));
    }
  }

  // ---- faults that delay or drop messages -----------------------------------------------------

  private void lateWrites() {
    if (kind.includes(FaultKind.LATE_WRITES) && oneIn(10)) {
      cluster.storeFaults.delayWrites(0.3, randomSeconds(5, 30));
    }
  }

  private void lostHeartbeats() {
    if (kind.includes(FaultKind.LOST_HEARTBEATS) && oneIn(6)) {
      cluster.machineFaults.dropHeartbeatsOfRandomWorker(randomSeconds(5, 50));
    }
    if (kind.includes(FaultKind.LOST_HEARTBEATS) && oneIn(25)) {
      cluster.machineFaults.dropHeartbeatsOfShare(0.6, randomSeconds(5, 50));
    }
  }

  private void hangs() {
    if (kind.includes(FaultKind.MACHINE_HANGS) && oneIn(6)) {
      cluster.machineFaults.hangRandomWorker(randomSeconds(1, 40));
    }
    if (kind == FaultKind.MACHINE_HANGS && !users.accepted().isEmpty() && oneIn(12)) {
      JobId id = users.accepted().get(cluster.nextInt(users.accepted().size()));
      cluster.machineFaults.hangWorkersOf(id, 8, randomSeconds(2, 30));
      users.cancel(id);
    }
  }

  private void slowStore() {
    if (kind.includes(FaultKind.SLOW_STORE) && oneIn(12)) {
      cluster.storeFaults.slowResponses(randomSeconds(5, 40), 0.3 + cluster.nextInt(10) / 10.0);
    }
  }

  private void delayedHeartbeats() {
    if (kind.includes(FaultKind.DELAYED_HEARTBEATS) && oneIn(4)) {
      cluster.machineFaults.delayHeartbeat(randomSeconds(3, 50));
    }
    boolean refusesLeader = kind == FaultKind.DELAYED_HEARTBEATS || kind == FaultKind.SLOW_STORE;
    if (refusesLeader && oneIn(15)) {
      cluster.storeFaults.refuse(Math.max(0, cluster.leader()), 8);
    }
  }

  private void zoneCuts() {
    if (kind.includes(FaultKind.ZONE_CUTS) && oneIn(20)) {
      cluster.networkFaults.isolateZone(oneIn(2) ? "east" : "west", randomSeconds(5, 45));
    }
  }

  private void refusedLeaders(int step) {
    boolean early = step < LAST_STEP_OF_REFUSED_LEADERS;
    if (kind.includes(FaultKind.REFUSED_LEADERS) && early && oneIn(20)) {
      cluster.storeFaults.refuseLeaders(10, 12, 8);
    }
    if (kind == FaultKind.REFUSED_LEADERS && oneIn(30)) {
      cluster.storeFaults.outage(randomSeconds(5, 40));
    }
  }

  private void partitionedZones() {
    if (kind == FaultKind.PARTITIONED_ZONES && oneIn(12)) {
      cluster.networkFaults.partitionZones(randomSeconds(5, 50));
    }
    if (kind == FaultKind.PARTITIONED_ZONES && oneIn(15)) {
      cluster.storeFaults.delayWrites(0.3, 15);
    }
  }
}
