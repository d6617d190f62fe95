package org.ternhinge.zone;

/**
 * The published status of a zone.
 *
 * @param expected number of machines that should report
 * @param impaired how many of these have missed heartbeats or are not reached by commands
 * @param penalty flap penalty: how often the zone was lost recently
 * @param step step of its return
 * @param startsLeft whether its pace permits another start now
 */
record ZoneStatus(
    ZoneState state, int expected, int impaired, double penalty, int step, boolean startsLeft) {}
