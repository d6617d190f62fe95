/**
 * Failover and recovery of zones: which zones accept new work, in which order and at which rate the
 * tasks of a lost zone are moved, and at which rate a recovering zone accepts work again. Decides
 * where and when attempts are opened, never whether an attempt has ended.
 */
package org.ternhinge.zone;
