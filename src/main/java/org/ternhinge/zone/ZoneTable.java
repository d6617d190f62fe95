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
import org.ternhinge.model.SteadyTime;

/**
 * The health of all zones of one leadership with the latest observation of each, in the order of
 * the site's settings. Guarded by its owner.
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
  ZoneTable(ZoneFailoverSettings settings, List<String> names, double leaseS, SteadyTime now) {
    this.settings = settings;
    this.names = List.copyOf(names);
    this.assessment = new FleetAssessment(settings, leaseS);
    for (int i = 0; i < names.size(); i++) {
      zones.add(ZoneHealth.available(now));
      observations.add(new ZoneObservation(0, 0));
    }
  }

  /** Replaces the observations; {@link #assess} draws the conclusions. */
  void observed(List<ZoneObservation> latest) {
    observations = latest;
  }

  /** Whether all zones are available and no machine is impaired. */
  boolean isAllHealthy() {
    for (int i = 0; i < zones.size(); i++) {
      if (zones.get(i).state() != ZoneState.AVAILABLE || observations.get(i).impaired() > 0) {
        return false;
      }
    }
    return true;
  }

  /** Updates the health of each zone from the latest observations; returns the state changes. */
  List<ZoneEvent> assess(SteadyTime now) {
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

  private ZoneEvent stateChanged(int zone, ZoneState from, SteadyTime now) {
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

  /** The zones that take no new work or only little of it, with the time since when. */
  Map<String, SteadyTime> lostSince() {
    Map<String, SteadyTime> lost = new LinkedHashMap<>();
    for (int i = 0; i < names.size(); i++) {
      ZoneState state = zones.get(i).state();
      if (state == ZoneState.UNAVAILABLE || state == ZoneState.RECOVERING) {
        lost.put(names.get(i), zones.get(i).since());
      }
    }
    return lost;
  }

  /** The status of all zones by name. */
  PMap<String, ZoneStatus> status(ReturnPacer pacer, SteadyTime now) {
    PMap<String, ZoneStatus> status = HashTreePMap.empty();
    for (int i = 0; i < names.size(); i++) {
      status = status.plus(names.get(i), status(i, pacer, now));
    }
    return status;
  }

  private ZoneStatus status(int zone, ReturnPacer pacer, SteadyTime now) {
    ZoneHealth health = zones.get(zone);
    return new ZoneStatus(
        health.state(),
        observations.get(zone).expected(),
        observations.get(zone).impaired(),
        health.penalty().valueAt(now, settings.flapDamping()),
        health.step(),
        pacer.allows(names.get(zone)));
  }

  /** The record of all zones for the next leader. */
  ObjectNode record(SteadyTime now, long wallMillis) {
    Map<String, ZoneHealth> byName = new LinkedHashMap<>();
    for (int i = 0; i < names.size(); i++) {
      byName.put(names.get(i), zones.get(i));
    }
    return ZoneRecord.write(byName, now, wallMillis);
  }

  /** Restores the record of an earlier leader; names that are not zones are ignored. */
  void restore(JsonNode record, SteadyTime now, long wallMillis) {
    Map<String, ZoneHealth> recorded = ZoneRecord.read(record, now, wallMillis);
    for (int i = 0; i < names.size(); i++) {
      ZoneHealth health = recorded.get(names.get(i));
      if (health != null) {
        zones.set(i, health);
      }
    }
  }
}
