package org.ternhinge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.ternhinge.model.Resources;

/**
 * A machine type of the cloud.
 *
 * @param name unique name
 * @param capacity resources of a machine, rounded down from {@code cpus}, {@code gpus} and {@code
 *     memoryGb}
 * @param cpus CPUs, as listed
 * @param gpus accelerators, as listed
 * @param memoryGb memory in GB, as listed
 * @param cacheGb size of the image cache in GB
 * @param fetchGbPerS bandwidth of image fetches in GB per second; concurrent fetches may share it
 * @param price current price of an on-demand machine per hour
 * @param spotPrice current price of a spot machine per hour
 * @param bootS nominal boot time in seconds
 * @param zones zones that offer the type
 */
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
              Resources.ofCapacity(cpus, gpus, memory),
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

  /** Writes a list of machine types in the format of the cloud. */
  public static ObjectNode writeAll(List<MachineType> machineTypes) {
    ObjectNode out = Json.object();
    ArrayNode list = out.putArray("velagerdir");
    for (MachineType type : machineTypes) {
      ObjectNode item = list.addObject().put("name", type.name);
      item.put("cpus", type.cpus).put("accelerators", type.gpus).put("memory_gb", type.memoryGb);
      item.put("cache_gb", type.cacheGb).put("pull_gb_per_s", type.fetchGbPerS);
      item.put("hourly", type.price).put("low_price", type.spotPrice).put("startup_s", type.bootS);
      ArrayNode zones = item.putArray("svaedin");
      type.zones.forEach(zones::add);
    }
    return out;
  }

  /** Estimated time in seconds to fetch an image of the given size in GB. */
  public double fetchSeconds(double gb) {
    return fetchGbPerS > 0 ? gb / fetchGbPerS : 0;
  }

  /** The current price per hour of a spot or an on-demand machine. */
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
