package org.ternhinge.zone;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.Json;

/**
 * The state of all zones as the key-value store holds it, so that a new leader does not start over.
 * Versions without zone failover never read this key. A field that is missing or of another type
 * makes its zone an available one: the record is a hint, and heartbeats tell the rest.
 */
public final class ZoneRecord {
  /** The key of the record. */
  public static final String KEY = "zones";

  private static final String STATE = "s";
  private static final String SINCE_MILLIS = "t";
  private static final String PENALTY = "p";
  private static final String PENALTY_MILLIS = "q";
  private static final String SUPPRESSED = "u";
  private static final double MILLIS_PER_S = 1000;

  /** Longer ago than anything that still matters here. */
  private static final double OLDEST_S = 86_400;

  private ZoneRecord() {}

  /**
   * The record of all zones.
   *
   * @param wallMillis time of day that is now
   */
  static ObjectNode write(Map<String, ZoneHealth> zones, SteadyTime now, long wallMillis) {
    ObjectNode out = Json.object();
    zones.forEach((name, health) -> out.set(name, write(health, now, wallMillis)));
    return out;
  }

  private static ObjectNode write(ZoneHealth health, SteadyTime now, long wallMillis) {
    long ageMillis = (long) (now.secondsSince(health.since()) * MILLIS_PER_S);
    ObjectNode out = Json.object().put(STATE, health.state().word());
    out.put(SINCE_MILLIS, wallMillis - ageMillis).put(PENALTY, health.penalty().value());
    out.put(
        PENALTY_MILLIS,
        wallMillis - (long) (now.secondsSince(health.penalty().at()) * MILLIS_PER_S));
    return out.put(SUPPRESSED, health.suppressed());
  }

  /** The zones that a record holds something of. */
  static Map<String, ZoneHealth> read(JsonNode record, SteadyTime now, long wallMillis) {
    Map<String, ZoneHealth> zones = new LinkedHashMap<>();
    record
        .properties()
        .forEach(
            entry ->
                ZoneState.of(entry.getValue().path(STATE).asText())
                    .ifPresent(
                        state ->
                            zones.put(
                                entry.getKey(), read(state, entry.getValue(), now, wallMillis))));
    return zones;
  }

  private static ZoneHealth read(ZoneState state, JsonNode value, SteadyTime now, long wallMillis) {
    SteadyTime since = time(value, SINCE_MILLIS, now, wallMillis);
    double penalty = Math.max(0, value.path(PENALTY).asDouble(0));
    FlapPenalty flaps = new FlapPenalty(penalty, time(value, PENALTY_MILLIS, now, wallMillis));
    boolean suppressed = value.path(SUPPRESSED).asBoolean(false);
    return new ZoneHealth(state, since, null, null, null, flaps, suppressed, 0, 0);
  }

  private static SteadyTime time(JsonNode value, String field, SteadyTime now, long wallMillis) {
    double ageS = (wallMillis - value.path(field).asLong(wallMillis)) / MILLIS_PER_S;
    return now.plusSeconds(-Math.min(OLDEST_S, Math.max(0, ageS)));
  }
}
