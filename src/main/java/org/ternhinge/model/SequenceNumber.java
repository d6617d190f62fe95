package org.ternhinge.model;

/**
 * A monotonically increasing number, such as a revision or a term. Two numbers are equal if they
 * have the same value and the same class, so that a term never equals an attempt number.
 *
 * <p>Immutable. Equality and order are explicit rather than generated for a record; see the package
 * documentation.
 *
 * @param <T> the concrete class, which is comparable only to itself
 */
public abstract class SequenceNumber<T extends SequenceNumber<T>> implements Comparable<T> {
  private final long value;

  /** Creates a number without a range check. */
  SequenceNumber(long value) {
    this.value = value;
  }

  /** The number in the form used in messages and records. */
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
