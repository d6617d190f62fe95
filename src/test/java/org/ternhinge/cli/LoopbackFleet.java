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
 * Machines on loopback in groups, one a zone, each behind a relay of its own. They are up from the
 * start, and the cloud has no others.
 */
final class LoopbackFleet implements AutoCloseable {
  private final Map<String, LinkRelay> relays = new LinkedHashMap<>();
  private final Map<MachineId, LoopbackWorker> workers = new ConcurrentSkipListMap<>();
  private final long startedAt = System.nanoTime();

  /**
   * Starts all machines; their names go round the zones.
   *
   * @param controllers ports of the controllers
   */
  LoopbackFleet(
      List<String> zones, int machinesEach, List<Integer> controllers, LoopbackWorker.Context site)
      throws IOException {
    Map<String, LoopbackWorker.Context> sites = new LinkedHashMap<>();
    for (String zone : zones) {
      LinkRelay relay = new LinkRelay();
      relays.put(zone, relay);
      List<Integer> ports = new ArrayList<>();
      for (int port : controllers) {
        ports.add(relay.forwardTo(port));
      }
      sites.put(
          zone,
          new LoopbackWorker.Context(
              site.client(),
              site.timers(),
              site.history(),
              ports,
              site.heartbeatIntervalS(),
              site.leaseS(),
              site.runS()));
    }
    for (int i = 0; i < machinesEach * zones.size(); i++) {
      String zone = zones.get(i % zones.size());
      MachineId id = new MachineId(String.format("n-%06d", i));
      workers.put(id, new LoopbackWorker(sites.get(zone), id, zone, relays.get(zone)));
    }
  }

  void partition(String zone) {
    relays.get(zone).partition();
  }

  void heal(String zone) {
    relays.get(zone).heal();
  }

  /** The cloud's list of machines after a name. */
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

  /** The cloud takes machines back. */
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
