/**
 * Scheduling rounds: takes a snapshot of jobs and machines under the controller's lock, runs the
 * planner on it without the lock, and executes the decisions that are still valid under the lock.
 *
 * <p>Owns the state of requested and running rounds, and the arrival rates of jobs. Rounds run on
 * the scheduler's thread. Code that changes what can be placed requests a round through {@link
 * org.ternhinge.term.RoundTrigger}.
 */
package org.ternhinge.round;
