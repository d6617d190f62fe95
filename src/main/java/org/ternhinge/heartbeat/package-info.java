/**
 * Heartbeat processing at the leader: applies heartbeats in the order in which they were sent,
 * responds with commands, and monitors worker leases. {@link
 * org.ternhinge.heartbeat.HeartbeatProcessor} lists the processing steps.
 *
 * <p>The reported state is stored in {@link org.ternhinge.machine.Machine} and the ledger; this
 * package has no state of its own. Called under the controller's lock by the heartbeat request
 * handler and by a timer of the leadership.
 */
package org.ternhinge.heartbeat;
