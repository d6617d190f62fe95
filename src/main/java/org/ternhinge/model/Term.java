package org.ternhinge.model;

/**
 * The term of a leader or one of its fencing tokens. A leadership owns a range of tokens that
 * begins with its term and ends below the term of the next leadership. Workers reject commands with
 * a lower token than the highest one they have seen.
 */
public final class Term extends SequenceNumber<Term> {
  /** No term; lower than the term of any leader. */
  public static final Term NONE = new Term(0);

  /** Creates a term from its number. */
  public Term(long value) {
    super(value);
  }

  /** The term after this one. */
  public Term next() {
    return plus(1);
  }

  /** The term that is higher by the given number. */
  public Term plus(long count) {
    return new Term(value() + count);
  }

  /** The higher one of two terms. */
  public Term max(Term other) {
    return compareTo(other) >= 0 ? this : other;
  }
}
