package org.ternhinge.term;

/** Requests scheduling rounds; used by whatever changes which tasks could be placed where. */
@FunctionalInterface
public interface RoundTrigger {
  /**
   * Requests a round soon. Requests made before it has begun are served by the same round. Called
   * under the controller's lock.
   */
  void requestRound();
}
