package org.ternhinge.zone;

/**
 * What is seen of a zone's machines at one time.
 *
 * @param expected machines that should report
 * @param impaired of these, how many have missed heartbeats or are not reached by commands
 * @param unheard machines that are in use and still have time for their first report to this leader
 */
public record ZoneObservation(int expected, int impaired, int unheard) {
  /** An observation of machines all of which have been heard or are overdue. */
  ZoneObservation(int expected, int impaired) {
    this(expected, impaired, 0);
  }

  /** Whether enough machines were heard to judge the zone by them. */
  boolean isConclusive() {
    return unheard <= expected;
  }

  /** Share of impaired machines, some of which may be accounted for already; 0 without machines. */
  double share(int tolerated) {
    int counted = expected - tolerated;
    return counted <= 0 ? 0 : Math.max(0, impaired - tolerated) / (double) counted;
  }
}
