package org.ternhinge.attempt;

import org.ternhinge.ledger.Attempt;

/** Is notified of attempts that are closed. Called under the controller's lock. */
@FunctionalInterface
public interface AttemptListener {
  /**
   * An attempt was closed, on proof that it is over.
   *
   * @param done whether its task has finished its work
   */
  void attemptClosed(Attempt attempt, boolean done);
}
