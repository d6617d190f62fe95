package org.ternhinge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ternhinge.model.MachineId;

/**
 * A machine in the cloud's list of machines, which lags behind its actual state.
 *
 * @param machine name of the machine
 * @param endpoint address of its worker as host:port; empty if the list has none
 * @param type machine type
 * @param zone zone of the machine
 * @param spot whether it is a spot machine
 * @param state its state as of the time that the list describes
 * @param ageS seconds from the provision request to the time that the list describes
 */
public record ListedMachine(
    MachineId machine,
    Optional<String> endpoint,
    String type,
    String zone,
    boolean spot,
    State state,
    double ageS) {

  /** States of a listed machine. */
  public enum State {
    /** Not running yet; a machine whose boot fails stays in this state. */
    BOOTING,
    /** Running, or down for less than about half a minute. */
    RUNNING,
    /** Stopped without a request; listed, at no charge, until it is released. */
    FAILED
  }

  /**
   * One page of the list.
   *
   * @param machines ordered by name
   * @param more whether further machines follow
   */
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
      Optional<String> endpoint = Json.optionalText(item, "endpoint");
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
