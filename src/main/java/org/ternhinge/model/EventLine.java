package org.ternhinge.model;

import java.util.Locale;

/**
 * Builds the text of a structured log line: a marker, the kind of event, and fields as {@code
 * name=value}. Spaces in values are replaced, so that a line can be split at spaces.
 */
public final class EventLine {
  private final StringBuilder text;

  private EventLine(String marker, String kind) {
    text = new StringBuilder(marker).append(' ').append(kind);
  }

  /** Starts a line with a marker, such as {@code leadership-event}, and the kind of event. */
  public static EventLine of(String marker, String kind) {
    return new EventLine(marker, kind);
  }

  /** Adds a field. */
  public EventLine with(String name, Object value) {
    String written = String.valueOf(value).replace(' ', '_');
    text.append(' ').append(name).append('=').append(written.isEmpty() ? "-" : written);
    return this;
  }

  /** Adds a number of seconds, with three decimals. */
  public EventLine withSeconds(String name, double seconds) {
    return with(name, String.format(Locale.ROOT, "%.3f", seconds));
  }

  /** Returns the line, without timestamp and level. */
  @Override
  public String toString() {
    return text.toString();
  }
}
