package org.ternhinge.model;

/** Tells one start of a task from another; never used twice for the same task. */
public record AttemptNumber(long value) implements Comparable<AttemptNumber> {
  public static final AttemptNumber NONE = new AttemptNumber(0);

  /** The number after this one. */
  public AttemptNumber next() {
    return new AttemptNumber(value + 1);
  }

  @Override
  public int compareTo(AttemptNumber other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }

  // By hand, as in the other small types that are compared and looked up for each heartbeat: what
  // the
  // compiler makes for a record goes through method handles, which the quick compiler that these
  // machines need does not see through (13 us to compare seven tasks, 0.6 us for two terms).
  @Override
  public boolean equals(Object other) {
    return other instanceof AttemptNumber t && t.value == value;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(value);
  }
}
