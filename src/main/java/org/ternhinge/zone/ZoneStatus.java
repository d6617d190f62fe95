package org.ternhinge.zone;

/**
 * The published status of a zone.
 *
 * @param expected number of machines that should report
 * @param impaired number of these that have missed heartbeats or are unreachable for commands
 * @param penalty penalty for recent losses
 * @param step step of the recovery
 * @param startsLeft whether the rate limit permits another start now
 */
record ZoneStatus(
    ZoneState state, int expected, int impaired, double penalty, int step, boolean startsLeft) {}
