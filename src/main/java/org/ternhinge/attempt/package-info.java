/**
 * Lifecycle of task attempts on machines: starting, stopping and closing them, sending commands to
 * workers, and fencing commands that may still arrive.
 *
 * <p>The attempts are owned by {@link org.ternhinge.ledger.Ledger}. This package owns the messages
 * in flight to workers and the time of the last raise of the term. Guarded by the controller's
 * lock, under which worker responses are handled as well. Used by heartbeat processing, scheduling
 * rounds and cancellations.
 */
package org.ternhinge.attempt;
