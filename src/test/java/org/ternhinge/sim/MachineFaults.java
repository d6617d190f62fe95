package org.ternhinge.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.SteadyTime;

/**
 * Faults of machines and of the ways to and from them: cuts, lost commands, lost reports, hangs,
 * restarts, and heartbeats that arrive late or once more.
 */
public final class MachineFaults {
  private final SimCluster cluster;

  /** Apart from the cluster's own, so that a seed means the same days with and without faults. */
  private final RandomGenerator random;

  /** Machines whose next heartbeat is held back, and for how long. */
  private final Map<MachineId, Double> toHold = new HashMap<>();

  private final Map<String, SteadyTime> zonesCutUntil = new HashMap<>();

  MachineFaults(SimCluster cluster, RandomGenerator random) {
    this.cluster = cluster;
    this.random = random;
  }

  private SteadyTime in(double seconds) {
    return cluster.clock.now().plusSeconds(seconds);
  }

  private SimWorker someWorker(RandomGenerator source) {
    List<SimWorker> live = cluster.liveWorkers();
    return live.isEmpty() ? null : live.get(source.nextInt(live.size()));
  }

  // ---- cuts and ends --------------------------------------------------------------------------

  /** Cuts all machines of a zone off from everything. */
  public void cutMachinesOfZone(String zone, double seconds) {
    for (SimWorker worker : cluster.liveWorkers()) {
      if (worker.zone.equals(zone)) {
        worker.cutUntil = in(seconds);
      }
    }
  }

  /** Cuts every other machine of a zone off from everything. */
  public void cutHalfOfZone(String zone, double seconds) {
    boolean cut = false;
    for (SimWorker worker : cluster.liveWorkers()) {
      if (worker.zone.equals(zone)) {
        cut = !cut;
        worker.cutUntil = cut ? in(seconds) : worker.cutUntil;
      }
    }
  }

  /** Cuts a zone's machines, and machines that come up there meanwhile are cut off as well. */
  public void cutZone(String zone, double seconds) {
    cutMachinesOfZone(zone, seconds);
    zonesCutUntil.put(zone, in(seconds));
  }

  /** A machine has come up. */
  void cameUp(SimWorker worker) {
    worker.cutUntil = zonesCutUntil.get(worker.zone);
  }

  /** Cuts off a machine that runs a job's task. */
  public void cutSomeWorkerWith(JobId id, double seconds) {
    List<MachineId> machines = cluster.tasks.machinesOf(id);
    if (!machines.isEmpty()) {
      cluster.workers.get(machines.get(0)).cutUntil = in(seconds);
    }
  }

  /** Cuts a random machine off, or ends it where the time is 0. */
  public void cutOrEndSomeWorker(double cutS) {
    SimWorker worker = someWorker(cluster.random);
    if (worker == null) {
      return;
    }
    if (cutS > 0) {
      worker.cutUntil = in(cutS);
    } else {
      cluster.workers.remove(worker.id());
      worker.die();
    }
  }

  /** A machine restarts: what ran there is gone, and it is back at once. */
  public void restart(SimWorker worker) {
    worker.restart();
  }

  /** A share of all machines restart together. */
  public void restartMachines(double share) {
    for (SimWorker worker : cluster.liveWorkers()) {
      if (cluster.random.nextDouble() < share) {
        worker.restart();
      }
    }
  }

  /** Every task that starts on a machine fails from now on. */
  public void makeSick(SimWorker worker) {
    worker.sick = true;
  }

  // ---- lost commands and lost reports ---------------------------------------------------------

  /** Some machine's heartbeats arrive, while nothing reaches it. */
  public SimWorker deafenSomeWorker(double seconds) {
    SimWorker worker = someWorker(cluster.random);
    if (worker != null) {
      worker.deafUntil = in(seconds);
    }
    return worker;
  }

  /** A machine's heartbeats arrive, while nothing reaches it. */
  public void deafen(MachineId id, double seconds) {
    cluster.workers.get(id).deafUntil = in(seconds);
  }

  /** Heartbeats of all machines of a job reach no controller, while direct commands reach them. */
  public void muteWorkersOf(JobId id, double seconds) {
    for (SimWorker worker : cluster.workersOf(id)) {
      worker.muteUntil = in(seconds);
    }
  }

  /** Heartbeats of a share of all machines reach no controller. */
  public void muteWorkers(double share, double seconds) {
    for (SimWorker worker : cluster.liveWorkers()) {
      if (random.nextDouble() < share) {
        worker.muteUntil = in(seconds);
      }
    }
  }

  /** Some machine's reports reach no controller. */
  public void muteSomeWorker(double seconds) {
    SimWorker worker = someWorker(random);
    if (worker != null) {
      worker.muteUntil = in(seconds);
    }
  }

  // ---- hangs ----------------------------------------------------------------------------------

  /** Some machine executes nothing for a while; what arrives waits for it. */
  public void hangSomeWorker(double seconds) {
    SimWorker worker = someWorker(random);
    if (worker != null) {
      worker.hang(seconds);
    }
  }

  /** Machines that run a job's tasks, at most so many, execute nothing for a while. */
  public List<SimWorker> hangWorkersOf(JobId id, int most, double seconds) {
    List<SimWorker> hung = new ArrayList<>();
    for (SimWorker worker : cluster.workersOf(id)) {
      if (hung.size() < most) {
        worker.hang(seconds);
        hung.add(worker);
      }
    }
    return hung;
  }

  // ---- late heartbeats and copies
  // ----------------------------------------------------------------

  /** Some machine's next heartbeat is held back and then reaches whoever leads by then. */
  public void holdHeartbeat(double seconds) {
    SimWorker worker = someWorker(random);
    if (worker != null) {
      holdHeartbeat(worker.id(), seconds);
    }
  }

  /** A machine's next heartbeat is held back and then reaches whoever leads by then. */
  public void holdHeartbeat(MachineId id, double seconds) {
    toHold.put(id, seconds);
  }

  /** Whether a heartbeat is held back; it is delivered when its time has come. */
  boolean rateLimited(MachineId id, byte[] heartbeat) {
    Double seconds = toHold.remove(id);
    if (seconds == null) {
      return false;
    }
    cluster.clock.after(seconds, () -> deliverLate(heartbeat));
    return true;
  }

  private void deliverLate(byte[] heartbeat) {
    int leader = cluster.leader();
    int to = leader >= 0 ? leader : random.nextInt(cluster.nodeCount());
    cluster.deliver(to, HeartbeatHistory.request(heartbeat), answer -> {});
  }

  /** For a while a share of all reports arrives once more, from a second to leases late. */
  public void copyHeartbeats(double share, double seconds) {
    cluster.heartbeatHistory.copy(share, seconds);
  }

  /** A copy of a machine's last heartbeat reaches every controller. */
  public void repeatHeartbeat(MachineId id) {
    cluster.heartbeatHistory.repeatLast(id);
  }
}
