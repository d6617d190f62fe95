/**
 * One term of leadership from election to its end: recovers jobs, attempts, provision requests and
 * releases from the key-value store, wires the parts of the leadership, and takes in the jobs that
 * other nodes accept.
 *
 * <p>Owns the parts, all of which end with it: nothing is carried over to the next leadership but
 * what the key-value store holds. Guarded by the controller's lock. Called by the controller for
 * elections and by the handlers of requests.
 */
package org.ternhinge.leadership;
