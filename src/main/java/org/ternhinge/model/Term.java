package org.ternhinge.model;

/**
 * The term of a leader. It increases with every election and serves as the fencing token: workers
 * reject commands with a lower term than the highest one they have seen.
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
    return new Term(value() + 1);
  }
}
