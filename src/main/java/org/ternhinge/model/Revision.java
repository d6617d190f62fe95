package org.ternhinge.model;

/** A version of a key in the state service; 0 stands for a key that does not exist. */
public record Revision(long value) implements Comparable<Revision> {
  public static final Revision NONE = new Revision(0);

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
}
