package org.ternhinge.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.TaskId;

/**
 * Faults of machines and of their links: network partitions, lost commands, lost heartbeats, hangs,
 * restarts, delayed or duplicated heartbeats, and duplicated commands.
 */
public final class MachineFaults {
  private final SimCluster cluster;

  /**
   * Separate from the cluster's source, so that a seed produces the same workload with and without
   * faults.
   */
  private final RandomGenerator random;

  /** Machines whose next heartbeat is delayed, with the delay in seconds. */
  private final Map<MachineId, Double> heartbeatDelaysS = new HashMap<>();

  private final Map<String, MonotonicTime> zonesIsolatedUntil = new HashMap<>();

  private final CommandHistory commandHistory;

  MachineFaults(SimCluster cluster, RandomGenerator random) {
    this.cluster = cluster;
    this.random = random;
    this.commandHistory = new CommandHistory(cluster, random);
  }

  private MonotonicTime fromNow(double seconds) {
    return cluster.clock.now().plusSeconds(seconds);
  }

  private Optional<SimWorker> randomWorker(RandomGenerator source) {
    List<SimWorker> live = cluster.machines.live();
    return live.isEmpty() ? Optional.empty() : Optional.of(live.get(source.nextInt(live.size())));
  }

  // ---- isolation and termination --------------------------------------------------------------

  /** Isolates all machines of a zone from the network. */
  public void isolateMachinesOfZone(String zone, double seconds) {
    for (SimWorker worker : cluster.machines.live()) {
      if (worker.zone.equals(zone)) {
        worker.links().isolate(seconds);
      }
    }
  }

  /** Isolates every other machine of a zone from the network. */
  public void isolateHalfOfZone(String zone, double seconds) {
    boolean isolates = false;
    for (SimWorker worker : cluster.machines.live()) {
      if (worker.zone.equals(zone)) {
        isolates = !isolates;
        if (isolates) {
          worker.links().isolate(seconds);
        }
      }
    }
  }

  /** Isolates the machines of a zone, including machines that start there during the fault. */
  public void isolateZone(String zone, double seconds) {
    isolateMachinesOfZone(zone, seconds);
    zonesIsolatedUntil.put(zone, fromNow(seconds));
  }

  /** Applies zone faults to a machine that has started. */
  void machineStarted(SimWorker worker) {
    Optional.ofNullable(zonesIsolatedUntil.get(worker.zone))
        .ifPresent(worker.links()::isolateUntil);
  }

  /** Isolates a machine that runs a task of a job. */
  public void isolateWorkerOf(JobId id, double seconds) {
    List<MachineId> machines = cluster.tasks.machinesOf(id);
    if (!machines.isEmpty()) {
      cluster.machines.worker(machines.get(0)).links().isolate(seconds);
    }
  }

  /** Isolates a random machine, or terminates it if the time is 0. */
  public void isolateOrTerminateRandomWorker(double isolationS) {
    randomWorker(cluster.random)
        .ifPresent(
            worker -> {
              if (isolationS > 0) {
                worker.links().isolate(isolationS);
              } else {
                cluster.machines.terminate(worker.id());
              }
            });
  }

  /** Restarts a machine at once; its running tasks are lost. */
  public void restart(SimWorker worker) {
    worker.restart();
  }

  /** Restarts a share of all machines at the same time. */
  public void restartMachines(double share) {
    for (SimWorker worker : cluster.machines.live()) {
      if (cluster.random.nextDouble() < share) {
        worker.restart();
      }
    }
  }

  /** Makes the tasks that run on a machine fail now. */
  public void failTasksOn(SimWorker worker) {
    worker.failRunningTasks();
  }

  /** Makes every task that starts on a machine fail from now on. */
  public void failAllTasksOn(SimWorker worker) {
    worker.failEveryTask();
  }

  // ---- lost commands and lost heartbeats ------------------------------------------------------

  /** Drops responses and commands to a random machine, while its heartbeats arrive. */
  public Optional<SimWorker> dropInboundOfRandomWorker(double seconds) {
    Optional<SimWorker> worker = randomWorker(cluster.random);
    worker.ifPresent(target -> target.links().dropInbound(seconds));
    return worker;
  }

  /** Drops responses and commands to a machine, while its heartbeats arrive. */
  public void dropInbound(MachineId id, double seconds) {
    cluster.machines.worker(id).links().dropInbound(seconds);
  }

  /** Drops the heartbeats of all machines that run a job, while direct commands reach them. */
  public void dropHeartbeatsOf(JobId id, double seconds) {
    for (SimWorker worker : cluster.machines.running(id)) {
      worker.links().dropHeartbeats(seconds);
    }
  }

  /** Drops the heartbeats of a share of all machines. */
  public void dropHeartbeatsOfShare(double share, double seconds) {
    for (SimWorker worker : cluster.machines.live()) {
      if (random.nextDouble() < share) {
        worker.links().dropHeartbeats(seconds);
      }
    }
  }

  /** Drops the heartbeats of a random machine. */
  public void dropHeartbeatsOfRandomWorker(double seconds) {
    randomWorker(random).ifPresent(worker -> worker.links().dropHeartbeats(seconds));
  }

  // ---- hangs ----------------------------------------------------------------------------------

  /** Hangs a random machine for a while; arriving messages are queued. */
  public void hangRandomWorker(double seconds) {
    randomWorker(random).ifPresent(worker -> worker.hang(seconds));
  }

  /** Hangs a machine for a while; arriving messages are queued. */
  public void hang(SimWorker worker, double seconds) {
    worker.hang(seconds);
  }

  /** Hangs machines that run tasks of a job, up to a limit, and returns them. */
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

  /** Delays the next heartbeat of a random machine; it is delivered to the leader at that time. */
  public void delayHeartbeat(double seconds) {
    randomWorker(random).ifPresent(worker -> delayHeartbeat(worker.id(), seconds));
  }

  /** Delays the next heartbeat of a machine; it is delivered to the leader at that time. */
  public void delayHeartbeat(MachineId id, double seconds) {
    heartbeatDelaysS.put(id, seconds);
  }

  /** Schedules the late delivery of a heartbeat if it is to be delayed; returns whether it is. */
  boolean scheduleIfDelayed(MachineId id, byte[] heartbeat) {
    Double seconds = heartbeatDelaysS.remove(id);
    if (seconds == null) {
      return false;
    }
    cluster.clock.schedule(seconds, () -> deliverLate(heartbeat));
    return true;
  }

  private void deliverLate(byte[] heartbeat) {
    int leader = cluster.leader();
    int to = leader >= 0 ? leader : random.nextInt(cluster.nodeCount());
    cluster.controllers.deliver(to, HeartbeatHistory.request(heartbeat), answer -> {});
  }

  /**
   * Duplicates a share of all heartbeats for a while; duplicates arrive from one second to several
   * leases late.
   */
  public void duplicateHeartbeats(double share, double seconds) {
    cluster.machines.heartbeatHistory().duplicate(share, seconds);
  }

  /** Delivers a duplicate of a machine's last heartbeat to every controller. */
  public void resendHeartbeat(MachineId id) {
    cluster.machines.heartbeatHistory().resendLast(id);
  }

  // ---- duplicate commands ---------------------------------------------------------------------

  /** The direct messages that workers have executed. */
  CommandHistory commandHistory() {
    return commandHistory;
  }

  /**
   * Duplicates a share of all direct messages that are executed during a period; duplicates arrive
   * from a fraction of a second to several leases late.
   */
  public void duplicateCommands(double share, double seconds) {
    commandHistory.duplicate(share, seconds);
  }

  /** Delivers a duplicate of each executed direct message that contains a start of a task. */
  public void resendStarts(TaskId task) {
    commandHistory.resendStarts(task);
  }

  /** Number of duplicate direct messages that have reached a running worker. */
  public int duplicateCommands() {
    return commandHistory.duplicates();
  }
}
