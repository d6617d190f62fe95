/**
 * Side-effect-free planning: computes the placements, preemptions, scale-outs and releases of one
 * scheduling round from a snapshot of jobs and machines. Keeps no state between rounds and needs no
 * lock.
 */
package org.ternhinge.schedule;
