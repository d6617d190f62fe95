package org.ternhinge.zone;

/**
 * The condition of a zone's machines at one time.
 *
 * @param expected number of machines that should report
 * @param impaired number of these that have missed heartbeats or are unreachable for commands
 * @param unreported number of machines in use that have not reported to this leader, and whose
 *     first heartbeat is not overdue yet
 */
public record ZoneObservation(int expected, int impaired, int unreported) {
  /** Creates an observation of a zone in which no first heartbeat is awaited. */
  ZoneObservation(int expected, int impaired) {
    this(expected, impaired, 0);
  }

  /** Whether enough machines have reported to assess the zone. */
  boolean isConclusive() {
    return unreported <= expected;
  }

  /**
   * Returns the share of impaired machines, not counting the tolerated ones; 0 if no machines
   * remain.
   */
  double share(int tolerated) {
    int counted = expected - tolerated;
    return counted <= 0 ? 0 : Math.max(0, impaired - tolerated) / (double) counted;
  }
}
