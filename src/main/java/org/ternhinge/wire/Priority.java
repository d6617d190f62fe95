package org.ternhinge.wire;

import java.util.Locale;

/** A job's priority, highest first. */
public enum Priority {
  PRODUCTION,
  HIGH,
  NORMAL,
  LOW;

  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  static Priority of(String word) throws WireException {
    for (Priority priority : values()) {
      if (priority.word().equals(word)) {
        return priority;
      }
    }
    throw new WireException("forgang: unknown priority");
  }
}
