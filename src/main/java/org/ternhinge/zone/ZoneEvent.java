package org.ternhinge.zone;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.ternhinge.model.TaskRanges;

/** Something that happened to a zone or to the work of a lost one, as the log has it. */
public sealed interface ZoneEvent {
  /** What each line of the log that holds an event contains, before its fields. */
  String MARK = "zone-event";

  /** The name of the kind of event in the log. */
  String kind();

  /** Its fields in the log; no value contains a space. */
  Map<String, String> fields();

  /** The event as a line of the log, without time and level. */
  default String line() {
    StringBuilder line = new StringBuilder(MARK).append(' ').append(kind());
    fields().forEach((name, value) -> line.append(' ').append(name).append('=').append(value));
    return line.toString();
  }

  /**
   * A zone is taken to be something else.
   *
   * @param suppressed whether it is kept out of use since it was lost repeatedly
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
      fields.put("from", from.word());
      fields.put("to", to.word());
      fields.put("impaired", Integer.toString(impaired));
      fields.put("expected", Integer.toString(expected));
      fields.put("penalty", Double.toString(Math.round(penalty * 100) / 100.0));
      fields.put("suppressed", Boolean.toString(suppressed));
      return fields;
    }
  }

  /** What happened to tasks that have lost their attempts with a zone. */
  enum WorkStep {
    /** Their attempts are proved over; they wait for their turn. */
    DISPLACED("displaced", "owed"),
    /** Their turn has come: the planner may place them. */
    RELEASED("released", "released"),
    /** They have new attempts. */
    MOVED("moved", "moved"),
    /** They still wait, for a reason that an operator may want to know. */
    DELAYED("delayed", "waits");

    private final String word;

    /** The word in logs of versions before 2026-12-02, which are read as well. */
    private final String earlierWord;

    WorkStep(String word, String earlierWord) {
      this.word = word;
      this.earlierWord = earlierWord;
    }

    /** The step as logs have it. */
    String word() {
      return word;
    }

    /**
     * Reads a step as logs have it, or had it.
     *
     * @throws IllegalArgumentException where the word is no step
     */
    static WorkStep of(String word) {
      for (WorkStep step : values()) {
        if (step.word.equals(word) || step.earlierWord.equals(word)) {
          return step;
        }
      }
      throw new IllegalArgumentException(word + " is not a step");
    }
  }

  /**
   * Tasks of a job that have lost their attempts with a zone come a step further.
   *
   * @param tasks ranges such as {@code 0-3,7}
   * @param attempts ranges of the numbers of their last attempts; empty where these are not known
   * @param waitedS seconds since the first of them was displaced
   * @param reason why they wait, as one word
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
      return step.word();
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

  /** Tasks start in a zone that has returned. */
  record ReturnStarts(String zone, int step, int starts) implements ZoneEvent {
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

  // ---- reading ----------------------------------------------------------------------------------

  /** Reads an event from its kind and fields; empty where they are not those of an event. */
  static Optional<ZoneEvent> read(String kind, Map<String, String> fields) {
    try {
      return Optional.of(readOrThrow(kind, fields));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static ZoneEvent readOrThrow(String kind, Map<String, String> fields) {
    return switch (kind) {
      case "state" ->
          new StateChanged(
              text(fields, "zone"),
              state(fields, "from"),
              state(fields, "to"),
              Integer.parseInt(text(fields, "impaired")),
              Integer.parseInt(text(fields, "expected")),
              Double.parseDouble(text(fields, "penalty")),
              Boolean.parseBoolean(text(fields, "suppressed")));
      case "return-starts" ->
          new ReturnStarts(
              text(fields, "zone"),
              Integer.parseInt(text(fields, "step")),
              Integer.parseInt(text(fields, "starts")));
      default ->
          new WorkChanged(
              WorkStep.of(kind),
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
    // Fails where these are no ranges.
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
