package org.ternhinge.zone;

import java.util.Map;
import java.util.Optional;
import org.ternhinge.model.TaskRanges;

/** Parses zone events from a log, including those of earlier versions. */
public final class ZoneEventParser {
  private ZoneEventParser() {}

  /**
   * Parses an event from its kind and fields; empty if the kind is unknown or a field is missing or
   * invalid.
   */
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
              requiredField(fields, "zone"),
              requiredState(fields, "from"),
              requiredState(fields, "to"),
              Integer.parseInt(requiredField(fields, "impaired")),
              Integer.parseInt(requiredField(fields, "expected")),
              Double.parseDouble(requiredField(fields, "penalty")),
              Boolean.parseBoolean(requiredField(fields, "suppressed")));
      case "return-starts" ->
          new ZoneEvent.RecoveryStarts(
              requiredField(fields, "zone"),
              Integer.parseInt(requiredField(fields, "step")),
              Integer.parseInt(requiredField(fields, "starts")));
      default ->
          new ZoneEvent.WorkChanged(
              ZoneEvent.WorkStep.of(kind),
              requiredField(fields, "job"),
              requiredRanges(fields, "tasks"),
              requiredField(fields, "attempts").equals("-")
                  ? ""
                  : requiredField(fields, "attempts"),
              requiredField(fields, "tier"),
              requiredField(fields, "zone"),
              Double.parseDouble(requiredField(fields, "waited_s")),
              requiredField(fields, "reason"));
    };
  }

  private static String requiredField(Map<String, String> fields, String name) {
    String value = fields.get(name);
    if (value == null) {
      throw new IllegalArgumentException(name + ": field is missing");
    }
    return value;
  }

  private static String requiredRanges(Map<String, String> fields, String name) {
    String value = requiredField(fields, name);
    // Throws if the value is not a list of ranges.
    if (TaskRanges.decode(value).isEmpty()) {
      throw new IllegalArgumentException(name + ": field has no ranges");
    }
    return value;
  }

  private static ZoneState requiredState(Map<String, String> fields, String name) {
    return ZoneState.of(requiredField(fields, name))
        .orElseThrow(() -> new IllegalArgumentException(name + ": unknown zone state"));
  }
}
