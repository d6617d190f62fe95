/**
 * Requests to one node: submissions, queries and cancellations of users, heartbeats of workers, and
 * the same when another node forwards them. Any node serves them; the leader answers from memory,
 * another node asks the leader or reads the key-value store.
 *
 * <p>Owns the state that outlives leaderships: the machine types loaded at the start, the node's
 * connectivity, the last search for the leader, and which peers and workers are unresponsive.
 * Guarded by the controller's lock unless a type says otherwise. Called by {@link
 * org.ternhinge.controller.ControllerNode}.
 */
package org.ternhinge.request;
