/**
 * The life of task attempts on machines: their starts and stops, the commands that carry them, the
 * evidence that closes them, and the fencing of commands that may still arrive.
 *
 * <p>The attempts themselves are owned by {@link org.ternhinge.ledger.Ledger}; this package owns
 * the messages in flight to workers and the time of the last raise of the term. Guarded by the
 * controller's lock; responses of workers are handled under it. Called by the handling of
 * heartbeats, by scheduling rounds and by cancellations.
 */
package org.ternhinge.attempt;
