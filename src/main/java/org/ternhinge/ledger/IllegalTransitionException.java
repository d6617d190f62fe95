package org.ternhinge.ledger;

/**
 * Thrown when a state machine is asked for a transition that it does not permit; indicates a
 * programming error.
 */
public final class IllegalTransitionException extends IllegalStateException {
  private static final long serialVersionUID = 1L;

  private final Enum<?> from;
  private final Enum<?> to;

  /**
   * Creates the exception.
   *
   * @param subject the object whose state should change, such as an attempt, for the message
   * @param from the current state
   * @param to the requested state
   */
  public IllegalTransitionException(String subject, Enum<?> from, Enum<?> to) {
    super(subject + ": no transition from " + from.name() + " to " + to.name());
    this.from = from;
    this.to = to;
  }

  /** The current state, which is unchanged. */
  public Enum<?> from() {
    return from;
  }

  /** The requested state. */
  public Enum<?> to() {
    return to;
  }
}
