/**
 * Scheduling rounds: takes a snapshot of jobs and machines under the controller's lock, has the
 * planner decide on it without the lock, and carries the plan out under the lock, as far as it
 * still holds.
 *
 * <p>Owns whether a round is requested or runs, and the arrival rates of jobs. Rounds run on the
 * scheduler's thread; whoever changes what could be placed where requests one through {@link
 * org.ternhinge.term.RoundTrigger}.
 */
package org.ternhinge.round;
