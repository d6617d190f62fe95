package org.ternhinge.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.SteadyTime;

/**
 * Faults of machines and of their links: cuts, lost commands, lost heartbeats, hangs, restarts, and
 * heartbeats that arrive late or twice.
 */
public final class MachineFaults {
  private final SimCluster cluster;

  /** Apart from the cluster's own, so that a seed means the same days with and without faults. */
  private final RandomGenerator random;

  /** Machines whose next heartbeat is delayed, with the delay in seconds. */
  private final Map<MachineId, Double> heartbeatDelaysS = new HashMap<>();

  private final Map<String, SteadyTime> zonesCutUntil = new HashMap<>();

  MachineFaults(SimCluster cluster, RandomGenerator random) {
    this.cluster = cluster;
    this.random = random;
  }

  private SteadyTime in(double seconds) {
    return cluster.clock.now().plusSeconds(seconds);
  }

  private Optional<SimWorker> someWorker(RandomGenerator source) {
    List<SimWorker> live = cluster.machines.live();
    return live.isEmpty() ? Optional.empty() : Optional.of(live.get(source.nextInt(live.size())));
  }

  // ---- cuts and ends --------------------------------------------------------------------------

  /** Cuts all machines of a zone off from everything. */
  public void isolateMachinesOfZone(String zone, double seconds) {
    for (SimWorker worker : cluster.machines.live()) {
      if (worker.zone.equals(zone)) {
        worker.links().isolate(seconds);
      }
    }
  }

  /** Cuts every other machine of a zone off from everything. */
  public void isolateHalfOfZone(String zone, double seconds) {
    boolean cut = false;
    for (SimWorker worker : cluster.machines.live()) {
      if (worker.zone.equals(zone)) {
        cut = !cut;
        if (cut) {
          worker.links().isolate(seconds);
        }
      }
    }
  }

  /** Cuts a zone's machines, and machines that come up there meanwhile are cut off as well. */
  public void isolateZone(String zone, double seconds) {
    isolateMachinesOfZone(zone, seconds);
    zonesCutUntil.put(zone, in(seconds));
  }

  /** A machine has come up. */
  void machineStarted(SimWorker worker) {
    Optional.ofNullable(zonesCutUntil.get(worker.zone)).ifPresent(worker.links()::isolateUntil);
  }

  /** Cuts off a machine that runs a job's task. */
  public void isolateWorkerOf(JobId id, double seconds) {
    List<MachineId> machines = cluster.tasks.machinesOf(id);
    if (!machines.isEmpty()) {
      cluster.machines.worker(machines.get(0)).links().isolate(seconds);
    }
  }

  /** Cuts a random machine off, or ends it where the time is 0. */
  public void isolateOrTerminateRandomWorker(double cutS) {
    someWorker(cluster.random)
        .ifPresent(
            worker -> {
              if (cutS > 0) {
                worker.links().isolate(cutS);
              } else {
                cluster.machines.terminate(worker.id());
              }
            });
  }

  /** A machine restarts at once; what ran there is lost. */
  public void restart(SimWorker worker) {
    worker.restart();
  }

  /** A share of all machines restart together. */
  public void restartMachines(double share) {
    for (SimWorker worker : cluster.machines.live()) {
      if (cluster.random.nextDouble() < share) {
        worker.restart();
      }
    }
  }

  /** Every task that starts on a machine fails from now on. */
  public void failAllTasksOn(SimWorker worker) {
    worker.failEveryTask();
  }

  // ---- lost commands and lost heartbeats ------------------------------------------------------

  /** Some machine's heartbeats arrive, while neither answers nor commands reach it. */
  public Optional<SimWorker> dropInboundOfRandomWorker(double seconds) {
    Optional<SimWorker> worker = someWorker(cluster.random);
    worker.ifPresent(target -> target.links().dropInbound(seconds));
    return worker;
  }

  /** A machine's heartbeats arrive, while neither answers nor commands reach it. */
  public void dropInbound(MachineId id, double seconds) {
    cluster.machines.worker(id).links().dropInbound(seconds);
  }

  /** Heartbeats of all machines of a job reach no controller, while direct commands reach them. */
  public void dropHeartbeatsOf(JobId id, double seconds) {
    for (SimWorker worker : cluster.machines.running(id)) {
      worker.links().dropHeartbeats(seconds);
    }
  }

  /** Heartbeats of a share of all machines reach no controller. */
  public void dropHeartbeatsOfShare(double share, double seconds) {
    for (SimWorker worker : cluster.machines.live()) {
      if (random.nextDouble() < share) {
        worker.links().dropHeartbeats(seconds);
      }
    }
  }

  /** Some machine's heartbeats reach no controller. */
  public void dropHeartbeatsOfRandomWorker(double seconds) {
    someWorker(random).ifPresent(worker -> worker.links().dropHeartbeats(seconds));
  }

  // ---- hangs ----------------------------------------------------------------------------------

  /** Some machine executes nothing for a while; what arrives waits for it. */
  public void hangRandomWorker(double seconds) {
    someWorker(random).ifPresent(worker -> worker.hang(seconds));
  }

  /** Machines that run a job's tasks, at most so many, execute nothing for a while. */
  public List<SimWorker> hangWorkersOf(JobId id, int limit, double seconds) {
    List<SimWorker> hung = new ArrayList<>();
    for (SimWorker worker : cluster.machines.running(id)) {
      if (hung.size() < limit) {
        worker.hang(seconds);
        hung.add(worker);
      }
    }
    return hung;
  }

  // ---- late and duplicate heartbeats ----------------------------------------------------------

  /** Some machine's next heartbeat is delayed and then delivered to the leader of that time. */
  public void delayHeartbeat(double seconds) {
    someWorker(random).ifPresent(worker -> delayHeartbeat(worker.id(), seconds));
  }

  /** A machine's next heartbeat is delayed and then delivered to the leader of that time. */
  public void delayHeartbeat(MachineId id, double seconds) {
    heartbeatDelaysS.put(id, seconds);
  }

  /** Whether a heartbeat is delayed; if so, its late delivery is scheduled. */
  boolean scheduleIfDelayed(MachineId id, byte[] heartbeat) {
    Double seconds = heartbeatDelaysS.remove(id);
    if (seconds == null) {
      return false;
    }
    cluster.clock.after(seconds, () -> deliverLate(heartbeat));
    return true;
  }

  private void deliverLate(byte[] heartbeat) {
    int leader = cluster.leader();
    int to = leader >= 0 ? leader : random.nextInt(cluster.nodeCount());
    cluster.controllers.deliver(to, HeartbeatHistory.request(heartbeat), answer -> {});
  }

  /**
   * For a while a share of all heartbeats arrives a second time, from a second to several leases
   * late.
   */
  public void duplicateHeartbeats(double share, double seconds) {
    cluster.machines.heartbeatHistory().duplicate(share, seconds);
  }

  /** A duplicate of a machine's last heartbeat reaches every controller. */
  public void resendHeartbeat(MachineId id) {
    cluster.machines.heartbeatHistory().resendLast(id);
  }
}
