/**
 * Handlers of the requests to a node: submissions, queries and cancellations from users, heartbeats
 * from workers, and the same requests forwarded by another node. Any node serves them: the leader
 * from memory, other nodes by forwarding them to the leader or reading the key-value store.
 *
 * <p>Owns the state that is kept across leaderships: the machine types loaded at the start, the
 * connectivity of the node, the leader found last, and which peers are unresponsive and which
 * workers were redirected or relayed. Guarded by the controller's lock unless a type says
 * otherwise. Called by {@link org.ternhinge.controller.ControllerNode}.
 */
package org.ternhinge.request;
