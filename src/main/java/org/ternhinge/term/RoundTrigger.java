package org.ternhinge.term;

/** Asks for a scheduling round, for whatever changes what could be placed where. */
@FunctionalInterface
public interface RoundTrigger {
  /**
   * Asks for a round soon. Requests made before it has begun are served by the same round. Called
   * under the controller's lock.
   */
  void requestRound();
}
