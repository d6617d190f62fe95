package org.ternhinge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.ternhinge.model.MachineId;

/**
 * A request to provision machines.
 *
 * @param name idempotency key of the request; never reused for a different request
 * @param type machine type
 * @param zone zone of the machines
 * @param spot whether to provision spot machines
 * @param count maximum number of machines, up to {@link #MAX_COUNT}; the cloud may provision fewer
 */
public record ProvisionRequest(String name, String type, String zone, boolean spot, int count) {

  /** Maximum number of machines per request. */
  public static final int MAX_COUNT = 50;

  /** Converts the request to JSON. */
  public ObjectNode write() {
    ObjectNode out = Json.object().put("leigubeidni", name).put("velagerd", type);
    return out.put("svaedi", zone).put("lanvelar", spot).put("count", count);
  }

  /** Reads the JSON written by {@link #write}. */
  public static ProvisionRequest read(JsonNode body) throws WireException {
    return new ProvisionRequest(
        Json.text(body, "leigubeidni"),
        Json.text(body, "velagerd"),
        Json.text(body, "svaedi"),
        Json.flag(body, "lanvelar"),
        (int) Json.count(body, "count"));
  }

  /** Reads the names of the provisioned machines from the response. */
  public static List<MachineId> readResponse(JsonNode body) throws WireException {
    List<MachineId> out = new ArrayList<>();
    for (JsonNode item : Json.list(body, "velar")) {
      out.add(new MachineId(item.asText()));
    }
    return out;
  }

  /** Serializes the body of a request to release machines. */
  public static byte[] releaseBody(List<MachineId> machines) {
    ObjectNode out = Json.object();
    ArrayNode names = out.putArray("velar");
    machines.forEach(machine -> names.add(machine.value()));
    return Json.bytes(out);
  }
}
