package org.ternhinge.model;

/**
 * The number of an attempt to run a task, never used twice for the same task. The tasks of a gang
 * share one number and find one another by it.
 */
public final class AttemptNumber extends SequenceNumber<AttemptNumber> {
  /** No attempt; lower than that of any start. */
  public static final AttemptNumber NONE = new AttemptNumber(0);

  /** Creates an attempt number. */
  public AttemptNumber(long value) {
    super(value);
  }

  /** The attempt number after this one. */
  public AttemptNumber next() {
    return new AttemptNumber(value() + 1);
  }
}
