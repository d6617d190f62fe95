package org.ternhinge.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each link fault drops only its own kind of message, and only until it ends. */
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
    "isolated, true, false, false",
    "inbound dropped, false, true, false",
    "heartbeats dropped, false, false, true"
  })
  void faultDropsOnlyItsOwnMessagesUntilItEnds(
      String fault, boolean isolated, boolean inbound, boolean heartbeats) {
    switch (fault) {
      case "isolated" -> links.isolate(FAULT_S);
      case "inbound dropped" -> links.dropInbound(FAULT_S);
      default -> links.dropHeartbeats(FAULT_S);
    }
    assertEquals(isolated, links.isIsolated());
    assertEquals(inbound, links.dropsInbound());
    assertEquals(heartbeats, links.dropsHeartbeats());
    assertFalse(links.areHealthy());
    clock.runFor(FAULT_S);
    assertTrue(links.areHealthy());
  }
}
