package org.ternhinge.model;

/** Tells one start of a task from another; never used twice for the same task. */
public record AttemptNumber(long value) implements Comparable<AttemptNumber> {
  public static final AttemptNumber NONE = new AttemptNumber(0);

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
}
