/**
 * Planning without side effects: from a snapshot of jobs and machines to placements, stops,
 * provision requests and returns.
 */
package org.ternhinge.schedule;
