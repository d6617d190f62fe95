/**
 * Scale out and scale in: provisions machines, releases them, reconciles the registry of machines
 * with the cloud's listings, and finds machines that can't be used.
 *
 * <p>Owns the provision requests and releases that are not completed. Each is recorded in the
 * key-value store before it is sent, so that the next leader continues it. Guarded by the
 * controller's lock. Called by scheduling rounds, by the handling of heartbeats and by timers.
 */
package org.ternhinge.scaling;
