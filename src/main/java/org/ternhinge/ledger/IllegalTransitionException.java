package org.ternhinge.ledger;

/**
 * A state machine was asked for a transition that its table does not permit: a programming error.
 */
public final class IllegalTransitionException extends IllegalStateException {
  private static final long serialVersionUID = 1L;

  private final Enum<?> from;
  private final Enum<?> to;

  /**
   * Creates the exception.
   *
   * @param subject what is in the state, such as an attempt, for the message
   * @param from the current state
   * @param to the state that may not follow it
   */
  public IllegalTransitionException(String subject, Enum<?> from, Enum<?> to) {
    super(subject + ": no transition from " + from.name() + " to " + to.name());
    this.from = from;
    this.to = to;
  }

  /** The state before the transition, which is kept. */
  public Enum<?> from() {
    return from;
  }

  /** The state that was asked for. */
  public Enum<?> to() {
    return to;
  }
}
