package org.ternhinge.wire;

import java.util.Locale;

/** A job's priority, highest first. */
public enum Priority {
  /** The highest priority. */
  PRODUCTION(3),
  /** Above normal. */
  HIGH(2),
  /** The usual priority. */
  NORMAL(1),
  /** The lowest priority. */
  LOW(0);

  private final int level;

  Priority(int level) {
    this.level = level;
  }

  /** The rank of the priority: the number of lower ones. */
  public int level() {
    return level;
  }

  /** The name of the priority in messages. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Parses the name of a priority in a message. */
  public static Priority fromWireName(String name) throws WireException {
    for (Priority priority : values()) {
      if (priority.wireName().equals(name)) {
        return priority;
      }
    }
    throw new WireException("forgang: unknown priority");
  }
}
