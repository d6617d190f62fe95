package org.ternhinge.zone;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.SteadyTime;

/**
 * Tells lost zones from our own lost links, by comparing the zones with each other. Where all look
 * impaired it is taken to be us; where many became so at once, that is in doubt for a while.
 */
final class FleetAssessment {
  /** Where one in so many zones, and more than one, is impaired at once, the cause is in doubt. */
  private static final int DOUBT_PART = 2;

  private final ZoneFailoverSettings settings;
  private final double leaseS;

  /**
   * Creates an assessment.
   *
   * @param leaseS after so long what can't be reached has ended its tasks, whatever the cause
   */
  FleetAssessment(ZoneFailoverSettings settings, double leaseS) {
    this.settings = settings;
    this.leaseS = leaseS;
  }

  /** All zones after an observation of each, in the same order. */
  List<ZoneHealth> next(List<ZoneHealth> before, List<ZoneObservation> seen, SteadyTime now) {
    List<ZoneHealth> next = new ArrayList<>(before.size());
    for (int zone = 0; zone < before.size(); zone++) {
      boolean confirmable = confirmable(zone, before, seen, now);
      next.add(before.get(zone).next(seen.get(zone), confirmable, settings, now));
    }
    return next;
  }

  private boolean confirmable(
      int zone, List<ZoneHealth> zones, List<ZoneObservation> seen, SteadyTime now) {
    SteadyTime onset = zones.get(zone).impairedSince();
    if (onset == null) {
      return false;
    }
    int populated = 0;
    int impaired = 0;
    int together = 0;
    for (int i = 0; i < zones.size(); i++) {
      if (seen.get(i).expected() > 0) {
        populated++;
        SteadyTime other = zones.get(i).impairedSince();
        impaired += other == null ? 0 : 1;
        together += other != null && near(other, onset) ? 1 : 0;
      }
    }
    if (impaired == populated) {
      return false;
    }
    boolean inDoubt = together > 1 && together * DOUBT_PART >= populated;
    return !inDoubt || now.secondsSince(onset) >= leaseS;
  }

  private boolean near(SteadyTime one, SteadyTime other) {
    return Math.abs(one.secondsSince(other)) <= settings.detection().correlationS();
  }
}
