package org.ternhinge.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.OptionalInt;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/** Reads responses of controllers to heartbeats; an unreadable response fails the test. */
final class HeartbeatResponses {
  private static final String NODE_PREFIX = "node-";

  private HeartbeatResponses() {}

  /** The index of the controller that a redirect names, if any. */
  static OptionalInt redirectedTo(byte[] redirect) {
    String name = parse(redirect).path("tilkynna_til").asText("");
    return name.isEmpty()
        ? OptionalInt.empty()
        : OptionalInt.of(Integer.parseInt(name.substring(NODE_PREFIX.length())));
  }

  /** The term in a response, which serves as fencing token. */
  static Term fencingToken(byte[] answer) {
    try {
      return new Term(Json.count(parse(answer), "valdmerki"));
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The commands in a response. */
  static List<Command> commands(byte[] answer) {
    try {
      return Command.read(parse(answer));
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
  }

  private static JsonNode parse(byte[] body) {
    try {
      return Json.parse(body);
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
  }
}
