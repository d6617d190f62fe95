/**
 * Workers' heartbeats at the leader: applies them in the order in which they were sent, answers
 * them with commands, and checks the leases of workers. {@link
 * org.ternhinge.heartbeat.HeartbeatProcessor} lists the steps of a heartbeat.
 *
 * <p>What a heartbeat shows is kept in {@link org.ternhinge.machine.Machine} and the ledger; this
 * package owns no state of its own. Called under the controller's lock by the node that has
 * received a heartbeat, and by a timer of the leadership.
 */
package org.ternhinge.heartbeat;
