package org.ternhinge.model;

/** A version of a key in the key-value store; 0 stands for a key that does not exist. */
public record Revision(long value) implements Comparable<Revision> {
  public static final Revision NONE = new Revision(0);

  /** The revision after this one. */
  public Revision next() {
    return new Revision(value + 1);
  }

  @Override
  public int compareTo(Revision other) {
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
    return other instanceof Revision t && t.value == value;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(value);
  }
}
