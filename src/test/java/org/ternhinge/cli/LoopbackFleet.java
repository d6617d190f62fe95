package org.ternhinge.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import org.ternhinge.model.MachineId;
import org.ternhinge.wire.Json;

/**
 * Worker machines on loopback. The machines of each zone are behind a relay of their own. All
 * machines run from the start, and the cloud provisions no others.
 */
final class LoopbackFleet implements AutoCloseable {
  private final Map<String, LinkRelay> relays = new LinkedHashMap<>();
  private final Map<MachineId, LoopbackWorker> workers = new ConcurrentSkipListMap<>();
  private final long startedAt = System.nanoTime();

  /**
   * Starts all machines, whose IDs are assigned to the zones in turn.
   *
   * @param controllers ports of the controllers
   * @param template settings of all workers; each zone replaces the ports of the controllers
   */
  LoopbackFleet(
      List<String> zones,
      int machinesPerZone,
      List<Integer> controllers,
      LoopbackWorker.Context template)
      throws IOException {
    Map<String, LoopbackWorker.Context> contexts = new LinkedHashMap<>();
    for (String zone : zones) {
      LinkRelay relay = new LinkRelay();
      relays.put(zone, relay);
      List<Integer> ports = new ArrayList<>();
      for (int port : controllers) {
        ports.add(relay.forwardTo(port));
      }
      contexts.put(
          zone,
          new LoopbackWorker.Context(
              template.client(),
              template.timers(),
              template.history(),
              ports,
              template.heartbeatIntervalS(),
              template.leaseS(),
              template.runS(),
              template.duplicates()));
    }
    for (int i = 0; i < machinesPerZone * zones.size(); i++) {
      String zone = zones.get(i % zones.size());
      MachineId id = new MachineId(String.format("n-%06d", i));
      workers.put(id, new LoopbackWorker(contexts.get(zone), id, zone, relays.get(zone)));
    }
  }

  /**
   * Waits until the leader places tasks on all machines. A worker that begins with another
   * controller is ready later, so tasks of a job submitted before may all be placed in one zone.
   */
  void awaitRegistered() throws InterruptedException {
    LoopbackCluster.waitUntil(
        "the leader places tasks on all machines",
        () -> workers.values().stream().allMatch(LoopbackWorker::isRegistered));
  }

  void partition(String zone) {
    relays.get(zone).partition();
  }

  void heal(String zone) {
    relays.get(zone).heal();
  }

  /** Returns the cloud's list of machines after a given ID. */
  ObjectNode list(String from) {
    ObjectNode out = Json.object().put("more", false);
    ArrayNode hosts = out.putArray("velar");
    for (LoopbackWorker worker : workers.values()) {
      if (from == null || worker.id().value().compareTo(from) > 0) {
        ObjectNode host = hosts.addObject().put("ref", worker.id().value());
        host.put("endpoint", worker.endpoint()).put("velagerd", "small");
        host.put("svaedi", worker.zone()).put("lanvelar", false).put("astand", "running");
        host.put("held_s", (System.nanoTime() - startedAt) / 1e9);
      }
    }
    return out;
  }

  /** Releases machines: stops their workers. */
  void release(List<MachineId> ids) {
    for (MachineId id : ids) {
      LoopbackWorker worker = workers.remove(id);
      if (worker != null) {
        worker.close();
      }
    }
  }

  @Override
  public void close() {
    workers.values().forEach(LoopbackWorker::close);
    relays.values().forEach(LinkRelay::close);
  }
}
