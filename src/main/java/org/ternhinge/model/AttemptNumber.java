package org.ternhinge.model;

/**
 * The number of an attempt to run a task, unique for that task. All tasks of a gang share the
 * number and identify the members of the same attempt by it.
 */
public final class AttemptNumber extends SequenceNumber<AttemptNumber> {
  /** No attempt; lower than the number of any actual attempt. */
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
