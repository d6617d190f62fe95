package org.ternhinge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.ternhinge.model.MachineId;

/** A request for machines; its name makes a repeat harmless. */
public record ProvisionRequest(String name, String type, String zone, boolean spot, int count) {

  public static final int MAX_COUNT = 50;

  /** The request as JSON. */
  public ObjectNode write() {
    ObjectNode out = Json.object().put("leigubeidni", name).put("velagerd", type);
    return out.put("svaedi", zone).put("lanvelar", spot).put("count", count);
  }

  /** Reads what {@link #write} has written. */
  public static ProvisionRequest read(JsonNode body) throws WireException {
    return new ProvisionRequest(
        Json.text(body, "leigubeidni"),
        Json.text(body, "velagerd"),
        Json.text(body, "svaedi"),
        Json.flag(body, "lanvelar"),
        (int) Json.count(body, "count"));
  }

  /** Reads the names of the machines that were provisioned. */
  public static List<MachineId> readAnswer(JsonNode body) throws WireException {
    List<MachineId> out = new ArrayList<>();
    for (JsonNode item : Json.list(body, "velar")) {
      out.add(new MachineId(item.asText()));
    }
    return out;
  }

  /** A request to give machines back, as JSON. */
  public static byte[] release(List<MachineId> machines) {
    ObjectNode out = Json.object();
    ArrayNode names = out.putArray("velar");
    machines.forEach(m -> names.add(m.value()));
    return Json.bytes(out);
  }
}
