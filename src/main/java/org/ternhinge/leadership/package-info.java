/**
 * One term of leadership, from the election to its end: recovers jobs, attempts, provision requests
 * and releases from the key-value store, wires the components of the leadership, and admits jobs
 * that other nodes accept.
 *
 * <p>Owns these components, none of which outlives the leadership: the next one recovers only from
 * the key-value store. Guarded by the controller's lock. Used by the controller on elections and by
 * the request handlers.
 */
package org.ternhinge.leadership;
