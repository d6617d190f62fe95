package org.ternhinge.zone;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.MonotonicTime;

/**
 * Distinguishes the loss of a zone from a network failure of the leader itself, by comparing all
 * zones. If all zones are impaired, the leader is assumed to be partitioned; if many zones became
 * impaired at the same time, the confirmation of a loss is delayed by the duration of a lease.
 */
final class FleetAssessment {
  /**
   * The cause is ambiguous if several zones, and at least one in this many, become impaired at the
   * same time.
   */
  private static final int CORRELATED_SHARE_DIVISOR = 2;

  private final ZoneFailoverSettings settings;
  private final double leaseS;

  /**
   * Creates an assessment.
   *
   * @param leaseS duration of a worker's lease in seconds, after which the tasks of an unreachable
   *     machine have ended, whatever the cause
   */
  FleetAssessment(ZoneFailoverSettings settings, double leaseS) {
    this.settings = settings;
    this.leaseS = leaseS;
  }

  /** Returns the health of all zones after an observation of each, in the same order. */
  List<ZoneHealth> assess(
      List<ZoneHealth> before, List<ZoneObservation> observations, MonotonicTime now) {
    List<ZoneHealth> after = new ArrayList<>(before.size());
    for (int zone = 0; zone < before.size(); zone++) {
      boolean confirmable = isConfirmable(zone, before, observations, now);
      after.add(before.get(zone).next(observations.get(zone), confirmable, settings, now));
    }
    return after;
  }

  /**
   * Whether the impairment of a zone may be confirmed as its loss, rather than attributed to a
   * network failure of the leader.
   */
  private boolean isConfirmable(
      int zone, List<ZoneHealth> zones, List<ZoneObservation> observations, MonotonicTime now) {
    MonotonicTime onset = zones.get(zone).impairedSince();
    if (onset == null) {
      return false;
    }
    int populated = 0;
    int impaired = 0;
    int correlated = 0;
    for (int i = 0; i < zones.size(); i++) {
      if (observations.get(i).expected() > 0) {
        populated++;
        MonotonicTime other = zones.get(i).impairedSince();
        impaired += other == null ? 0 : 1;
        correlated += other != null && isCorrelated(other, onset) ? 1 : 0;
      }
    }
    if (impaired == populated) {
      return false;
    }
    boolean ambiguous = correlated > 1 && correlated * CORRELATED_SHARE_DIVISOR >= populated;
    return !ambiguous || now.secondsSince(onset) >= leaseS;
  }

  private boolean isCorrelated(MonotonicTime one, MonotonicTime other) {
    return Math.abs(one.secondsSince(other)) <= settings.detection().correlationS();
  }
}
