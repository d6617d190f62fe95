package org.ternhinge.model;

/**
 * A number that only grows, such as a revision or a term. Two of them are equal if they have the
 * same value and are of the same class, so that a term never equals an attempt number.
 *
 * <p>Values are immutable. The equality and the order are written out rather than left to a record;
 * the package documentation says why.
 *
 * @param <T> the concrete class, which is comparable only to itself
 */
public abstract class SequenceNumber<T extends SequenceNumber<T>> implements Comparable<T> {
  private final long value;

  /** Creates a number; no range is checked. */
  SequenceNumber(long value) {
    this.value = value;
  }

  /** The number as messages and records carry it. */
  public final long value() {
    return value;
  }

  @Override
  public final int compareTo(T other) {
    return Long.compare(value, other.value());
  }

  @Override
  public final boolean equals(Object other) {
    return other instanceof SequenceNumber<?> number
        && number.value == value
        && number.getClass() == getClass();
  }

  @Override
  public final int hashCode() {
    return Long.hashCode(value);
  }

  @Override
  public final String toString() {
    return Long.toString(value);
  }
}
