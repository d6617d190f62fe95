package org.ternhinge.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.wire.ListedMachine;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.ProvisionRequest;

/** Machines that the cloud has provisioned, regardless of which controller requested them. */
final class ProvisionedMachines {
  /** A machine that was provisioned and is still booting. */
  private record Booting(ProvisionRequest request, MachineType machineType) {}

  private final SimCluster cluster;
  private final Map<String, List<MachineId>> provisions = new HashMap<>();
  private final TreeMap<MachineId, Booting> booting = new TreeMap<>();
  private final Map<MachineId, MonotonicTime> provisionedAt = new HashMap<>();
  private int totalProvisioned;

  ProvisionedMachines(SimCluster cluster) {
    this.cluster = cluster;
  }

  /** Number of machines provisioned so far. */
  int totalProvisioned() {
    return totalProvisioned;
  }

  /** Machines that are booting. */
  List<MachineId> booting() {
    return List.copyOf(booting.keySet());
  }

  /** Number of machines, booting or running, of the type, zone and kind of a request. */
  private int countProvisioned(ProvisionRequest request) {
    int count = 0;
    for (Booting machine : booting.values()) {
      ProvisionRequest other = machine.request;
      count += matches(request, other.type(), other.zone(), other.spot()) ? 1 : 0;
    }
    for (SimWorker worker : cluster.machines.workers()) {
      count += matches(request, worker.machineType.name(), worker.zone, worker.spot) ? 1 : 0;
    }
    return count;
  }

  private static boolean matches(ProvisionRequest request, String type, String zone, boolean spot) {
    return request.type().equals(type) && request.zone().equals(zone) && request.spot() == spot;
  }

  /** Provisions machines; repeating a request returns the same machines. */
  List<MachineId> provision(ProvisionRequest request) {
    return provisions.computeIfAbsent(request.name(), name -> provisionNew(request));
  }

  private List<MachineId> provisionNew(ProvisionRequest request) {
    List<MachineId> out = new ArrayList<>();
    int available = cluster.machinesOfEach() - countProvisioned(request);
    for (int i = 0; i < Math.min(request.count(), available); i++) {
      out.add(provisionOne(request));
    }
    return out;
  }

  private MachineId provisionOne(ProvisionRequest request) {
    MachineId id = new MachineId(String.format("n-%06d", totalProvisioned++));
    MachineType machineType = SimMachineTypes.ALL.get(request.type().equals("small") ? 0 : 1);
    booting.put(id, new Booting(request, machineType));
    provisionedAt.put(id, cluster.clock.now());
    double usualS = machineType.bootS() * (0.6 + cluster.random.nextDouble());
    double bootS = usualS * cluster.bootFaults.bootTimeFactor(request);
    if (!cluster.bootFaults.neverBoots(totalProvisioned - 1)) {
      cluster.clock.schedule(bootS, () -> finishBoot(id));
    }
    return id;
  }

  private void finishBoot(MachineId id) {
    Booting machine = booting.remove(id);
    if (machine != null) {
      ProvisionRequest request = machine.request;
      SimWorker worker =
          new SimWorker(cluster, id, machine.machineType, request.zone(), request.spot());
      cluster.machines.add(worker);
      cluster.machineFaults.machineStarted(worker);
    }
  }

  /** Releases a machine that is booting. */
  void release(MachineId id) {
    booting.remove(id);
  }

  /** All provisioned machines ordered by name, as of the configured list lag ago. */
  List<ListedMachine> list() {
    MonotonicTime then = cluster.clock.now().plusSeconds(-cluster.bootFaults.listLagS());
    TreeMap<MachineId, ListedMachine> machines = new TreeMap<>();
    booting.forEach(
        (id, machine) -> {
          ProvisionRequest request = machine.request;
          machines.put(
              id,
              new ListedMachine(
                  id,
                  Optional.of(""),
                  request.type(),
                  request.zone(),
                  request.spot(),
                  ListedMachine.State.BOOTING,
                  then.secondsSince(provisionedAt.get(id))));
        });
    cluster
        .machines
        .workers()
        .forEach(
            worker ->
                machines.put(
                    worker.id(),
                    new ListedMachine(
                        worker.id(),
                        Optional.of(worker.endpoint()),
                        worker.machineType.name(),
                        worker.zone,
                        worker.spot,
                        worker.startedAt.isBefore(then) || worker.startedAt.equals(then)
                            ? ListedMachine.State.RUNNING
                            : ListedMachine.State.BOOTING,
                        then.secondsSince(provisionedAt.get(worker.id())))));
    machines.values().removeIf(machine -> machine.ageS() < 0);
    return List.copyOf(machines.values());
  }
}
