package org.ternhinge.sim;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.TreeMap;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.wire.Heartbeat;

/** The machines of a simulated cluster: booting, running and removed ones. */
public final class SimMachines {
  private final SimCluster cluster;
  private final TreeMap<MachineId, SimWorker> workers = new TreeMap<>();
  private final ProvisionedMachines provisioned;
  private final HeartbeatHistory heartbeatHistory;

  SimMachines(SimCluster cluster) {
    this.cluster = cluster;
    this.provisioned = new ProvisionedMachines(cluster);
    this.heartbeatHistory = new HeartbeatHistory(cluster);
  }

  /** The machines that the cloud has provisioned. */
  ProvisionedMachines provisioned() {
    return provisioned;
  }

  HeartbeatHistory heartbeatHistory() {
    return heartbeatHistory;
  }

  /** Adds a machine that has finished booting. */
  void add(SimWorker worker) {
    workers.put(worker.id(), worker);
  }

  /** Releases a machine, whether it is booting or running. */
  void release(MachineId id) {
    provisioned.release(id);
    terminate(id);
  }

  /** Terminates a machine if it is running. */
  void terminate(MachineId id) {
    SimWorker worker = workers.remove(id);
    if (worker != null) {
      worker.terminate();
    }
  }

  /** The worker of a machine, or null if the machine is not running. */
  SimWorker worker(MachineId id) {
    return workers.get(id);
  }

  /** The workers of all running machines, ordered by name; a view. */
  Collection<SimWorker> workers() {
    return Collections.unmodifiableCollection(workers.values());
  }

  /** Number of machines provisioned so far. */
  public int totalProvisioned() {
    return provisioned.totalProvisioned();
  }

  /** Machines that are booting. */
  public List<MachineId> booting() {
    return provisioned.booting();
  }

  /** Running machines, ordered by name. */
  public List<SimWorker> live() {
    return List.copyOf(workers.values());
  }

  /** Whether a machine is running. */
  public boolean isLive(MachineId id) {
    return workers.containsKey(id);
  }

  /** Running machines that run tasks of a job, ordered by name. */
  public List<SimWorker> running(JobId id) {
    return cluster.tasks.distinctMachinesOf(id).stream()
        .map(workers::get)
        .filter(Objects::nonNull)
        .toList();
  }

  /** Machines that have sent a heartbeat and are no longer running. */
  public List<MachineId> removed() {
    return heartbeatHistory.machines().stream().filter(id -> !isLive(id)).toList();
  }

  /** The last heartbeat of a machine. */
  public Heartbeat lastHeartbeat(MachineId id) {
    return heartbeatHistory.last(id);
  }
}
