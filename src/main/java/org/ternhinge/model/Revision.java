package org.ternhinge.model;

/**
 * A revision of the key-value store. The revision of the store is the number of changes so far; the
 * revision of a key is the store revision of its latest change.
 */
public final class Revision extends SequenceNumber<Revision> {
  /** The revision of a key that does not exist. */
  public static final Revision NONE = new Revision(0);

  /** Creates a revision from its number. */
  public Revision(long value) {
    super(value);
  }

  /** The revision after this one. */
  public Revision next() {
    return new Revision(value() + 1);
  }
}
