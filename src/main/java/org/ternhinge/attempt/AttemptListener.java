package org.ternhinge.attempt;

import org.ternhinge.ledger.Attempt;

/** Listens for attempts that are closed. Called under the controller's lock. */
@FunctionalInterface
public interface AttemptListener {
  /**
   * Called after an attempt was closed.
   *
   * @param done whether its task completed successfully
   */
  void attemptClosed(Attempt attempt, boolean done);
}
