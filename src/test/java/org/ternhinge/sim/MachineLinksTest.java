package org.ternhinge.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which messages the links of a machine lose, and for how long. */
class MachineLinksTest {
  private static final double FAULT_S = 10;

  private final SimClock clock = new SimClock();
  private final MachineLinks links = new MachineLinks(clock);

  @Test
  void newLinksLoseNothing() {
    assertTrue(links.areHealthy());
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "cut, true, false, false",
    "inbound lost, false, true, false",
    "heartbeats lost, false, false, true"
  })
  void faultDropsOnlyItsOwnMessagesUntilItEnds(
      String fault, boolean cut, boolean inbound, boolean heartbeats) {
    switch (fault) {
      case "cut" -> links.isolate(FAULT_S);
      case "inbound lost" -> links.dropInbound(FAULT_S);
      default -> links.dropHeartbeats(FAULT_S);
    }
    assertEquals(cut, links.isIsolated());
    assertEquals(inbound, links.dropsInbound());
    assertEquals(heartbeats, links.dropsHeartbeats());
    assertFalse(links.areHealthy());
    clock.runFor(FAULT_S);
    assertTrue(links.areHealthy());
  }
}
