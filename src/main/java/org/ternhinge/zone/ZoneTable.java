package org.ternhinge.zone;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.MonotonicTime;

/**
 * The health and the latest observation of each zone during one leadership, in the order of the
 * site's settings. Not thread-safe; the owner synchronizes access.
 */
final class ZoneTable {
  private final List<String> names;
  private final ZoneFailoverSettings settings;
  private final FleetAssessment assessment;
  private final List<ZoneHealth> zones = new ArrayList<>();
  private List<ZoneObservation> observations = new ArrayList<>();

  /**
   * Creates a table with all zones available.
   *
   * @param leaseS duration of a worker's lease, in seconds
   */
  ZoneTable(ZoneFailoverSettings settings, List<String> names, double leaseS, MonotonicTime now) {
    this.settings = settings;
    this.names = List.copyOf(names);
    this.assessment = new FleetAssessment(settings, leaseS);
    for (int i = 0; i < names.size(); i++) {
      zones.add(ZoneHealth.available(now));
      observations.add(new ZoneObservation(0, 0));
    }
  }

  /** Replaces the observations, which {@link #assess} evaluates. */
  void setObservations(List<ZoneObservation> latest) {
    observations = latest;
  }

  /** Whether all zones are available and no machine is impaired. */
  boolean areAllHealthy() {
    for (int i = 0; i < zones.size(); i++) {
      if (zones.get(i).state() != ZoneState.AVAILABLE || observations.get(i).impaired() > 0) {
        return false;
      }
    }
    return true;
  }

  /** Updates the health of each zone from the latest observations; returns the state changes. */
  List<ZoneEvent> assess(MonotonicTime now) {
    List<ZoneEvent> events = new ArrayList<>();
    List<ZoneHealth> after = assessment.assess(zones, observations, now);
    for (int zone = 0; zone < names.size(); zone++) {
      ZoneHealth before = zones.set(zone, after.get(zone));
      if (before.state() != after.get(zone).state()) {
        events.add(stateChanged(zone, before.state(), now));
      }
    }
    return events;
  }

  private ZoneEvent stateChanged(int zone, ZoneState from, MonotonicTime now) {
    ZoneHealth health = zones.get(zone);
    return new ZoneEvent.StateChanged(
        names.get(zone),
        from,
        health.state(),
        observations.get(zone).impaired(),
        observations.get(zone).expected(),
        health.penalty().valueAt(now, settings.flapDamping()),
        health.suppressed());
  }

  /** Returns the unavailable and recovering zones with the time of their last state change. */
  Map<String, MonotonicTime> lostSince() {
    Map<String, MonotonicTime> lost = new LinkedHashMap<>();
    for (int i = 0; i < names.size(); i++) {
      ZoneState state = zones.get(i).state();
      if (state == ZoneState.UNAVAILABLE || state == ZoneState.RECOVERING) {
        lost.put(names.get(i), zones.get(i).since());
      }
    }
    return lost;
  }

  /** Returns the status of all zones by name. */
  PMap<String, ZoneStatus> status(RecoveryRateLimiter rateLimiter, MonotonicTime now) {
    PMap<String, ZoneStatus> status = HashTreePMap.empty();
    for (int i = 0; i < names.size(); i++) {
      status = status.plus(names.get(i), status(i, rateLimiter, now));
    }
    return status;
  }

  private ZoneStatus status(int zone, RecoveryRateLimiter rateLimiter, MonotonicTime now) {
    ZoneHealth health = zones.get(zone);
    return new ZoneStatus(
        health.state(),
        observations.get(zone).expected(),
        observations.get(zone).impaired(),
        health.penalty().valueAt(now, settings.flapDamping()),
        health.step(),
        rateLimiter.allows(names.get(zone)));
  }

  /** Returns the record of all zones for the next leader. */
  ObjectNode record(MonotonicTime now, long wallMillis) {
    Map<String, ZoneHealth> byName = new LinkedHashMap<>();
    for (int i = 0; i < names.size(); i++) {
      byName.put(names.get(i), zones.get(i));
    }
    return ZoneRecord.write(byName, now, wallMillis);
  }

  /** Restores the record of an earlier leader; unknown zone names are ignored. */
  void restore(JsonNode record, MonotonicTime now, long wallMillis) {
    Map<String, ZoneHealth> recorded = ZoneRecord.read(record, now, wallMillis);
    for (int i = 0; i < names.size(); i++) {
      ZoneHealth health = recorded.get(names.get(i));
      if (health != null) {
        zones.set(i, health);
      }
    }
  }
}
