package org.ternhinge.model;

/**
 * The number of a period of leadership. It grows with every election, and workers use it as the
 * fencing token: they refuse commands that carry a lower one than they have seen.
 */
public final class Term extends SequenceNumber<Term> {
  /** No term; lower than any that was ever won. */
  public static final Term NONE = new Term(0);

  /** Creates a term from its number. */
  public Term(long value) {
    super(value);
  }

  /** The term after this one. */
  public Term next() {
    return new Term(value() + 1);
  }
}
