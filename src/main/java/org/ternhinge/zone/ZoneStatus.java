package org.ternhinge.zone;

/**
 * What readers are shown of a zone.
 *
 * @param expected machines that should report
 * @param impaired of these, how many don't or are not reached
 * @param penalty how often it was lost lately
 * @param step of its return
 * @param startsLeft whether its pace permits another start now
 */
public record ZoneStatus(
    ZoneState state, int expected, int impaired, double penalty, int step, boolean startsLeft) {}
