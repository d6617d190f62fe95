/**
 * Scale out and scale in: provisions machines, releases them, reads the listings of the cloud, and
 * finds machines that are of no use.
 *
 * <p>Owns the provision requests and releases that are not settled. Each is recorded in the
 * key-value store before it is sent, so that the next leader goes on with it. Guarded by the
 * controller's lock. Called by scheduling rounds, by the handling of heartbeats and by timers.
 */
package org.ternhinge.scaling;
