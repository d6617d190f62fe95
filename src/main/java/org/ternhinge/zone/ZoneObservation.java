package org.ternhinge.zone;

/**
 * The condition of a zone's machines at one time.
 *
 * @param expected number of machines that should report
 * @param impaired how many of these have missed heartbeats or are not reached by commands
 * @param unreported number of machines in use whose first heartbeat to this leader is not due yet
 */
public record ZoneObservation(int expected, int impaired, int unreported) {
  /** An observation without machines that are not due to report yet. */
  ZoneObservation(int expected, int impaired) {
    this(expected, impaired, 0);
  }

  /** Whether enough machines have reported to judge the zone by them. */
  boolean isConclusive() {
    return unreported <= expected;
  }

  /** Share of impaired machines without the tolerated ones; 0 where no machine is left. */
  double share(int tolerated) {
    int counted = expected - tolerated;
    return counted <= 0 ? 0 : Math.max(0, impaired - tolerated) / (double) counted;
  }
}
