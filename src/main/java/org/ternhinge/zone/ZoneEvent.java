package org.ternhinge.zone;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An event of a zone or of the work of a lost zone, as the log has it. {@link ZoneEventParser}
 * reads what {@link #line} writes.
 */
public sealed interface ZoneEvent {
  /** The word before the kind and the fields of an event in a line of the log. */
  String MARKER = "zone-event";

  /** The name of the kind of event in the log. */
  String kind();

  /** The fields in the log, in order; no value contains a space. */
  Map<String, String> fields();

  /** The event as a line of the log, without time and level. */
  default String line() {
    StringBuilder line = new StringBuilder(MARKER).append(' ').append(kind());
    fields().forEach((name, value) -> line.append(' ').append(name).append('=').append(value));
    return line.toString();
  }

  /**
   * A zone has changed its state.
   *
   * @param suppressed whether it stays out of use because it was lost repeatedly
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

  /** A step of displaced tasks on their way to new attempts. */
  enum WorkStep {
    /** Their attempts have certainly ended; they wait for their turn. */
    DISPLACED("displaced", "owed"),
    /** Their turn has come: the planner may place them. */
    RELEASED("released", "released"),
    /** They have new attempts. */
    MOVED("moved", "moved"),
    /** They still wait, for a reason that an operator may want to know. */
    DELAYED("delayed", "waits");

    private final String label;

    /** The word in logs of versions before 2026-12-02, which are parsed as well. */
    private final String legacyLabel;

    WorkStep(String word, String earlierWord) {
      this.label = word;
      this.legacyLabel = earlierWord;
    }

    /** The step as logs have it. */
    String label() {
      return label;
    }

    /**
     * Reads a step as logs have it, or had it.
     *
     * @throws IllegalArgumentException where the word is not a step
     */
    static WorkStep of(String word) {
      for (WorkStep step : values()) {
        if (step.label.equals(word) || step.legacyLabel.equals(word)) {
          return step;
        }
      }
      throw new IllegalArgumentException(word + " is not a step");
    }
  }

  /**
   * Displaced tasks of a job have taken a step.
   *
   * @param tasks ranges such as {@code 0-3,7}
   * @param attempts ranges of the numbers of their last attempts; empty where these are unknown
   * @param waitedS seconds since the first of them was displaced
   * @param reason reason for the step, as one word
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

  /** Tasks start in a zone that is recovering. */
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
