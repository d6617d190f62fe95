/**
 * Planning without side effects: from a snapshot of jobs and machines to the placements,
 * preemptions, scale-outs and releases of one scheduling round. Holds no state between rounds and
 * needs no lock.
 */
package org.ternhinge.schedule;
