package org.ternhinge.zone;

import java.util.Map;
import java.util.Optional;
import org.ternhinge.model.TaskRanges;

/** Parses the events of zones from a log, those of earlier versions included. */
public final class ZoneEventParser {
  private ZoneEventParser() {}

  /** Parses an event from its kind and fields; empty where these are not those of an event. */
  public static Optional<ZoneEvent> parse(String kind, Map<String, String> fields) {
    try {
      return Optional.of(parseOrThrow(kind, fields));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static ZoneEvent parseOrThrow(String kind, Map<String, String> fields) {
    return switch (kind) {
      case "state" ->
          new ZoneEvent.StateChanged(
              text(fields, "zone"),
              state(fields, "from"),
              state(fields, "to"),
              Integer.parseInt(text(fields, "impaired")),
              Integer.parseInt(text(fields, "expected")),
              Double.parseDouble(text(fields, "penalty")),
              Boolean.parseBoolean(text(fields, "suppressed")));
      case "return-starts" ->
          new ZoneEvent.RecoveryStarts(
              text(fields, "zone"),
              Integer.parseInt(text(fields, "step")),
              Integer.parseInt(text(fields, "starts")));
      default ->
          new ZoneEvent.WorkChanged(
              ZoneEvent.WorkStep.of(kind),
              text(fields, "job"),
              ranges(fields, "tasks"),
              text(fields, "attempts").equals("-") ? "" : text(fields, "attempts"),
              text(fields, "tier"),
              text(fields, "zone"),
              Double.parseDouble(text(fields, "waited_s")),
              text(fields, "reason"));
    };
  }

  private static String text(Map<String, String> fields, String name) {
    String value = fields.get(name);
    if (value == null) {
      throw new IllegalArgumentException(name + " is missing");
    }
    return value;
  }

  private static String ranges(Map<String, String> fields, String name) {
    String value = text(fields, name);
    // Throws where these are no ranges.
    if (TaskRanges.decode(value).isEmpty()) {
      throw new IllegalArgumentException(name + " is empty");
    }
    return value;
  }

  private static ZoneState state(Map<String, String> fields, String name) {
    return ZoneState.of(text(fields, name))
        .orElseThrow(() -> new IllegalArgumentException(name + " is not a state"));
  }
}
