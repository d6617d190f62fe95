package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Zone indexes and comparison of machine descriptions. */
class MachineDescriptionTest {
  private static final List<String> ZONES = List.of("east", "west");

  @ParameterizedTest
  @CsvSource({"east, 0", "west, 1", "north, -1"})
  void zoneIndexIsPositionInSettings(String zone, int index) {
    assertEquals(index, MachineDescription.of("small", zone, false, ZONES).zone());
  }

  @ParameterizedTest
  @CsvSource({
    "small, east, true, true",
    "large, east, true, false",
    "small, west, true, false",
    "small, east, false, false"
  })
  void onlyEqualAttributesMatch(String type, String zone, boolean spot, boolean matches) {
    MachineDescription description = MachineDescription.of("small", "east", true, ZONES);
    assertEquals(matches, description.matches(type, zone, spot));
  }

  @Test
  void unknownDescriptionMatchesNothing() {
    assertFalse(MachineDescription.UNKNOWN.isKnown());
    assertFalse(MachineDescription.UNKNOWN.matches("", "", false));
  }
}
