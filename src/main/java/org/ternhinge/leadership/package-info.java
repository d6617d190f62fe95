/**
 * One term of leadership from election to its end: recovers jobs, attempts, provision requests and
 * releases from the key-value store, wires the components of the leadership, and admits the jobs
 * that other nodes accept.
 *
 * <p>Owns these components, all of which end with the leadership: the next one starts from what the
 * key-value store holds, and from nothing else. Guarded by the controller's lock. Called by the
 * controller for elections and by the request handlers.
 */
package org.ternhinge.leadership;
