/**
 * Connects a leadership to {@link org.ternhinge.zone.ZoneFailover}: provides observations of
 * machines and jobs, logs decisions and stores the record of zones in the key-value store.
 *
 * <p>Tracks whether that record has been read and needs to be written. Guarded by the controller's
 * lock, except for the filter of snapshots, which a scheduling round calls without it. Has no
 * effect if zone failover is not configured.
 */
package org.ternhinge.failover;
