package org.ternhinge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.ternhinge.model.Resources;

/** A machine type as the cloud offers it. */
public record MachineType(
    String name,
    Resources capacity,
    double cpus,
    double gpus,
    double memoryGb,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {

  /** Reads the cloud's list of machine types. */
  public static List<MachineType> readAll(JsonNode body) throws WireException {
    List<MachineType> out = new ArrayList<>();
    for (JsonNode item : Json.list(body, "velagerdir")) {
      List<String> zones = new ArrayList<>();
      for (JsonNode zone : Json.list(item, "svaedin")) {
        zones.add(zone.asText());
      }
      double cpus = Json.amount(item, "cpus");
      double gpus = Json.amount(item, "accelerators");
      double memory = Json.amount(item, "memory_gb");
      out.add(
          new MachineType(
              Json.text(item, "name"),
              Resources.offer(cpus, gpus, memory),
              cpus,
              gpus,
              memory,
              Json.amount(item, "cache_gb"),
              Json.amount(item, "pull_gb_per_s"),
              Json.amount(item, "hourly"),
              Json.amount(item, "low_price"),
              Json.amount(item, "startup_s"),
              List.copyOf(zones)));
    }
    return List.copyOf(out);
  }

  /** Writes machine types as the cloud does. */
  public static ObjectNode writeAll(List<MachineType> machineTypes) {
    ObjectNode out = Json.object();
    ArrayNode list = out.putArray("velagerdir");
    for (MachineType f : machineTypes) {
      ObjectNode item = list.addObject().put("name", f.name);
      item.put("cpus", f.cpus).put("accelerators", f.gpus).put("memory_gb", f.memoryGb);
      item.put("cache_gb", f.cacheGb).put("pull_gb_per_s", f.fetchGbPerS);
      item.put("hourly", f.price).put("low_price", f.spotPrice).put("startup_s", f.bootS);
      ArrayNode zones = item.putArray("svaedin");
      f.zones.forEach(zones::add);
    }
    return out;
  }

  /** Seconds to fetch an image of this size. */
  public double fetchSeconds(double gb) {
    return fetchGbPerS > 0 ? gb / fetchGbPerS : 0;
  }

  /** The price of an hour. */
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
