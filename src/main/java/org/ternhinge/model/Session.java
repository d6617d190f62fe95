package org.ternhinge.model;

/** Counts a worker's leases: every lease that runs out begins the next session. */
public record Session(long value) implements Comparable<Session> {
  public static final Session NONE = new Session(0);

  public Session next() {
    return new Session(value + 1);
  }

  @Override
  public int compareTo(Session other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
