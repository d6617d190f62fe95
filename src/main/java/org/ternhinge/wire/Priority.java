package org.ternhinge.wire;

import java.util.Locale;

/** A job's priority, highest first. */
public enum Priority {
  PRODUCTION(3),
  HIGH(2),
  NORMAL(1),
  LOW(0);

  private final int level;

  Priority(int level) {
    this.level = level;
  }

  /** How many priorities are below this one. */
  public int level() {
    return level;
  }

  /** The priority as messages have it. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Reads a priority as messages have it. */
  public static Priority of(String word) throws WireException {
    for (Priority priority : values()) {
      if (priority.word().equals(word)) {
        return priority;
      }
    }
    throw new WireException("forgang: unknown priority");
  }
}
