/**
 * Workers' heartbeats at the leader: takes them in, in the order in which they were sent, answers
 * them with commands, and watches the leases of workers.
 *
 * <p>What a heartbeat tells is kept in {@link org.ternhinge.machine.Machine} and the ledger; this
 * package owns no state of its own. Called under the controller's lock by the node that has
 * received a heartbeat, and by a timer of the leadership.
 */
package org.ternhinge.heartbeat;
