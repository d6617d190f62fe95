package org.ternhinge.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/** Restoring the record of all zones, including invalid records. */
class ZoneRecordTest {
  private static final long WALL_MILLIS = 1_700_000_000_000L;
  private static final MonotonicTime NOW = new MonotonicTime(500_000_000_000L);

  @Test
  void nextLeaderRestoresRecordedHealth() {
    ZoneHealth lost =
        new ZoneHealth(
            ZoneState.RECOVERING,
            NOW.plusSeconds(-7),
            null,
            null,
            NOW,
            new FlapPenalty(1.5, NOW.plusSeconds(-30)),
            true,
            1,
            3);
    ObjectNode record =
        ZoneRecord.write(Map.of("west", lost, "east", ZoneHealth.available(NOW)), NOW, WALL_MILLIS);
    assertTrue(Json.bytes(record).length < 200, "the record takes a few bytes per zone");
    // Another process with a different steady clock, three seconds later.
    MonotonicTime later = new MonotonicTime(42);
    ZoneHealth read = ZoneRecord.read(record, later, WALL_MILLIS + 3000).get("west");
    assertEquals(ZoneState.RECOVERING, read.state());
    assertEquals(10, later.secondsSince(read.since()), 0.01);
    assertEquals(33, later.secondsSince(read.penalty().at()), 0.01);
    assertTrue(read.suppressed());
    assertEquals(null, read.healthySince(), "times of observations are not restored");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{}",
        "[]",
        "7",
        "{\"west\":7}",
        "{\"west\":{}}",
        "{\"west\":{\"s\":\"lost\"}}",
        "{\"west\":{\"s\":\"unavailable\",\"t\":\"long ago\",\"p\":\"high\",\"u\":3}}",
        "{\"west\":{\"s\":\"suspect\",\"t\":9999999999999999,\"p\":-4}}"
      })
  void invalidRecordsAreHarmless(String text) throws WireException {
    ZoneRecord.read(Json.parse(text.getBytes(StandardCharsets.UTF_8)), NOW, WALL_MILLIS)
        .values()
        .forEach(
            health -> {
              assertTrue(health.penalty().value() >= 0);
              assertTrue(!NOW.isBefore(health.since()));
            });
  }
}
