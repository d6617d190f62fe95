/**
 * Connects a leadership to the decisions of {@link org.ternhinge.zone.ZoneFailover}: provides it
 * with observations of machines and jobs, logs its decisions and keeps its record in the key-value
 * store.
 *
 * <p>Owns whether that record was read and is to be written. Guarded by the controller's lock, but
 * for the filter of snapshots, which a scheduling round calls without it. Changes nothing where
 * zone failover is not configured.
 */
package org.ternhinge.failover;
