package org.ternhinge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.ternhinge.model.MachineId;

/** A machine as the cloud's list shows it. */
public record ListedMachine(
    MachineId machine,
    String endpoint,
    String type,
    String zone,
    boolean spot,
    State state,
    double ageS) {

  /** What the cloud says of a machine. */
  public enum State {
    BOOTING,
    RUNNING,
    FAILED
  }

  /** One page of the list. */
  public record Page(List<ListedMachine> machines, boolean more) {}

  /** Reads a page of the cloud's list of machines. */
  public static Page readPage(JsonNode body) throws WireException {
    List<ListedMachine> out = new ArrayList<>();
    for (JsonNode item : Json.list(body, "velar")) {
      State state =
          switch (Json.text(item, "astand")) {
            case "booting" -> State.BOOTING;
            case "failed" -> State.FAILED;
            default -> State.RUNNING;
          };
      String endpoint = Json.textOrNull(item, "endpoint");
      out.add(
          new ListedMachine(
              new MachineId(Json.text(item, "ref")),
              endpoint,
              Json.text(item, "velagerd"),
              Json.text(item, "svaedi"),
              Json.flag(item, "lanvelar"),
              state,
              Json.amount(item, "held_s")));
    }
    JsonNode more = body.get("more");
    return new Page(List.copyOf(out), more != null && more.asBoolean());
  }
}
