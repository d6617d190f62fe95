package org.ternhinge.model;

/**
 * A version in the key-value store: of one key, the store revision of its latest change; of the
 * whole store, the number of changes so far.
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
