/**
 * Requests to one node: submissions, queries and cancellations of users, heartbeats of workers, and
 * the same from other nodes. Any node takes them; the leader answers from memory, another node asks
 * the leader or reads the key-value store.
 *
 * <p>Owns what outlasts leaderships: the machine types of the node, its connectivity, its searches
 * for the leader and its relays. Guarded by the controller's lock unless a type says otherwise.
 * Called by {@link org.ternhinge.controller.ControllerNode}.
 */
package org.ternhinge.request;
