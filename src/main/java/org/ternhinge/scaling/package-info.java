/**
 * Scale-out and scale-in: provisions and releases machines, reconciles the machine registry with
 * the cloud's listings, and finds unusable machines.
 *
 * <p>This package owns the incomplete provision requests and releases. Each one is recorded in the
 * key-value store before it is sent, so that the next leader can resume it. All state is guarded by
 * the controller's lock. Callers are scheduling rounds, the heartbeat handlers and timers.
 */
package org.ternhinge.scaling;
