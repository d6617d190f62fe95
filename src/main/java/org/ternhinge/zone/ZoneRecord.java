package org.ternhinge.zone;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.wire.Json;

/**
 * The record of all zones in the key-value store, from which a new leader restores their states.
 * Versions without zone failover never read this key. A zone whose state is missing or invalid is
 * treated as available, and other missing or invalid fields get default values: the record is only
 * a hint, since heartbeats determine the state.
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

  /** Upper limit of restored ages; a greater age would have no further effect. */
  private static final double MAX_AGE_S = 86_400;

  private ZoneRecord() {}

  /**
   * Returns the record of all zones.
   *
   * @param wallMillis the current wall-clock time in milliseconds
   */
  static ObjectNode write(Map<String, ZoneHealth> zones, MonotonicTime now, long wallMillis) {
    ObjectNode record = Json.object();
    zones.forEach((name, health) -> record.set(name, write(health, now, wallMillis)));
    return record;
  }

  private static ObjectNode write(ZoneHealth health, MonotonicTime now, long wallMillis) {
    long ageMillis = (long) (now.secondsSince(health.since()) * MILLIS_PER_S);
    ObjectNode out = Json.object().put(STATE, health.state().label());
    out.put(SINCE_MILLIS, wallMillis - ageMillis).put(PENALTY, health.penalty().value());
    out.put(
        PENALTY_MILLIS,
        wallMillis - (long) (now.secondsSince(health.penalty().at()) * MILLIS_PER_S));
    return out.put(SUPPRESSED, health.suppressed());
  }

  /** Returns the health of the zones that have a valid state in a record. */
  static Map<String, ZoneHealth> read(JsonNode record, MonotonicTime now, long wallMillis) {
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

  private static ZoneHealth read(
      ZoneState state, JsonNode value, MonotonicTime now, long wallMillis) {
    MonotonicTime since = time(value, SINCE_MILLIS, now, wallMillis);
    double penalty = Math.max(0, value.path(PENALTY).asDouble(0));
    FlapPenalty flaps = new FlapPenalty(penalty, time(value, PENALTY_MILLIS, now, wallMillis));
    boolean suppressed = value.path(SUPPRESSED).asBoolean(false);
    return new ZoneHealth(state, since, null, null, null, flaps, suppressed, 0, 0);
  }

  private static MonotonicTime time(
      JsonNode value, String field, MonotonicTime now, long wallMillis) {
    double ageS = (wallMillis - value.path(field).asLong(wallMillis)) / MILLIS_PER_S;
    return now.plusSeconds(-Math.min(MAX_AGE_S, Math.max(0, ageS)));
  }
}
