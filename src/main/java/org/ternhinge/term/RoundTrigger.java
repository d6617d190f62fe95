package org.ternhinge.term;

/**
 * Requests scheduling rounds; used by components whose changes affect which tasks can be placed and
 * where.
 */
@FunctionalInterface
public interface RoundTrigger {
  /**
   * Requests a round in the near future. Requests made before that round begins are coalesced into
   * it. Called under the controller's lock.
   */
  void requestRound();
}
