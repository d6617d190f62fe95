package org.ternhinge.zone;

import java.util.LinkedHashMap;
import java.util.Map;
import org.ternhinge.model.EventLine;

/**
 * A logged event about a zone or about displaced tasks. {@link ZoneEventParser} parses the format
 * that {@link #line} writes.
 */
public sealed interface ZoneEvent {
  /** The marker that precedes the kind and the fields of an event in a log line. */
  String MARKER = "zone-event";

  /** Returns the name of this kind of event in the log. */
  String kind();

  /** Returns the fields in the order in which they are logged; no value contains a space. */
  Map<String, String> fields();

  /** Returns the event as a log line, without timestamp and level. */
  default String line() {
    EventLine line = EventLine.of(MARKER, kind());
    fields().forEach(line::with);
    return line.toString();
  }

  /**
   * A change of a zone's state.
   *
   * @param suppressed whether the zone's recovery is suppressed because it was lost repeatedly
   */
  record StateChanged(
      String zone,
      ZoneState from,
      ZoneState to,
      int impaired,
      int expected,
      double penalty,
      boolean suppressed)
      implements ZoneEvent {
    @Override
    public String kind() {
      return "state";
    }

    @Override
    public Map<String, String> fields() {
      Map<String, String> fields = new LinkedHashMap<>();
      fields.put("zone", zone);
      fields.put("from", from.label());
      fields.put("to", to.label());
      fields.put("impaired", Integer.toString(impaired));
      fields.put("expected", Integer.toString(expected));
      fields.put("penalty", Double.toString(Math.round(penalty * 100) / 100.0));
      fields.put("suppressed", Boolean.toString(suppressed));
      return fields;
    }
  }

  /** A step of displaced tasks towards new attempts. */
  enum WorkStep {
    /** Their attempts have certainly ended; they are held until their tier is released. */
    DISPLACED("displaced", "owed"),
    /** The planner may place them. */
    RELEASED("released", "released"),
    /** They have new attempts. */
    MOVED("moved", "moved"),
    /** They are still waiting; the event states the reason for the operator. */
    DELAYED("delayed", "waits");

    private final String label;

    /** The name in logs of versions before 2026-12-02, which are parsed as well. */
    private final String legacyLabel;

    WorkStep(String label, String legacyLabel) {
      this.label = label;
      this.legacyLabel = legacyLabel;
    }

    /** The name of the step in the log. */
    String label() {
      return label;
    }

    /**
     * Parses the name of a step in current or earlier logs.
     *
     * @throws IllegalArgumentException if the name is unknown
     */
    static WorkStep of(String label) {
      for (WorkStep step : values()) {
        if (step.label.equals(label) || step.legacyLabel.equals(label)) {
          return step;
        }
      }
      throw new IllegalArgumentException(label + " is not a known step of displaced tasks");
    }
  }

  /**
   * A step of displaced tasks of a job.
   *
   * @param tasks ranges such as {@code 0-3,7}
   * @param attempts ranges of the numbers of their last attempts; empty if unknown
   * @param waitedS seconds since the first of them was displaced
   * @param reason reason for the step, without spaces
   */
  record WorkChanged(
      WorkStep step,
      String job,
      String tasks,
      String attempts,
      String tier,
      String zone,
      double waitedS,
      String reason)
      implements ZoneEvent {
    @Override
    public String kind() {
      return step.label();
    }

    @Override
    public Map<String, String> fields() {
      Map<String, String> fields = new LinkedHashMap<>();
      fields.put("job", job);
      fields.put("tasks", tasks);
      fields.put("attempts", attempts.isEmpty() ? "-" : attempts);
      fields.put("tier", tier);
      fields.put("zone", zone);
      fields.put("waited_s", Double.toString(Math.round(waitedS * 10) / 10.0));
      fields.put("reason", reason);
      return fields;
    }
  }

  /** Task starts in a recovering zone. */
  record RecoveryStarts(String zone, int step, int starts) implements ZoneEvent {
    @Override
    public String kind() {
      return "return-starts";
    }

    @Override
    public Map<String, String> fields() {
      Map<String, String> fields = new LinkedHashMap<>();
      fields.put("zone", zone);
      fields.put("step", Integer.toString(step));
      fields.put("starts", Integer.toString(starts));
      return fields;
    }
  }
}
