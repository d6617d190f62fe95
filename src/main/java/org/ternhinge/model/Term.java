package org.ternhinge.model;

/** The number of a leadership; workers know it as the token and refuse lower ones. */
public record Term(long value) implements Comparable<Term> {
  public static final Term NONE = new Term(0);

  public Term next() {
    return new Term(value + 1);
  }

  @Override
  public int compareTo(Term other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
