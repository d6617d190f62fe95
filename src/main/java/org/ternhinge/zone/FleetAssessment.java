package org.ternhinge.zone;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.MonotonicTime;

/**
 * Distinguishes lost zones from lost links of the leader itself, by comparing the zones. Where all
 * zones are impaired, the leader is assumed to be cut off; where many became so at once, no loss is
 * confirmed for a while.
 */
final class FleetAssessment {
  /** The cause is in doubt where one in so many zones, and more than one, is impaired at once. */
  private static final int DOUBT_RATIO = 2;

  private final ZoneFailoverSettings settings;
  private final double leaseS;

  /**
   * Creates an assessment.
   *
   * @param leaseS duration of a worker's lease in seconds, after which the tasks of a machine that
   *     is not reached have ended, whatever the cause
   */
  FleetAssessment(ZoneFailoverSettings settings, double leaseS) {
    this.settings = settings;
    this.leaseS = leaseS;
  }

  /** The health of all zones after an observation of each, in the same order. */
  List<ZoneHealth> assess(
      List<ZoneHealth> before, List<ZoneObservation> observations, MonotonicTime now) {
    List<ZoneHealth> after = new ArrayList<>(before.size());
    for (int zone = 0; zone < before.size(); zone++) {
      boolean confirmable = isConfirmable(zone, before, observations, now);
      after.add(before.get(zone).after(observations.get(zone), confirmable, settings, now));
    }
    return after;
  }

  /** Whether the impairment of a zone may be its loss rather than that of the leader's links. */
  private boolean isConfirmable(
      int zone, List<ZoneHealth> zones, List<ZoneObservation> observations, MonotonicTime now) {
    MonotonicTime onset = zones.get(zone).impairedSince();
    if (onset == null) {
      return false;
    }
    int populated = 0;
    int impaired = 0;
    int impairedTogether = 0;
    for (int i = 0; i < zones.size(); i++) {
      if (observations.get(i).expected() > 0) {
        populated++;
        MonotonicTime other = zones.get(i).impairedSince();
        impaired += other == null ? 0 : 1;
        impairedTogether += other != null && isCorrelated(other, onset) ? 1 : 0;
      }
    }
    if (impaired == populated) {
      return false;
    }
    boolean inDoubt = impairedTogether > 1 && impairedTogether * DOUBT_RATIO >= populated;
    return !inDoubt || now.secondsSince(onset) >= leaseS;
  }

  private boolean isCorrelated(MonotonicTime one, MonotonicTime other) {
    return Math.abs(one.secondsSince(other)) <= settings.detection().correlationS();
  }
}
