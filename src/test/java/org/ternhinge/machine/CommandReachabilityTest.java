package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.MonotonicTime;

/** Detection and probing of machines that commands do not reach. */
class CommandReachabilityTest {
  private static final MonotonicTime START = new MonotonicTime(0);
  private final CommandReachability reachability = new CommandReachability();

  /**
   * N: no effect of an answer, E: effect of a command, A: answered probe, L: epoch ended despite
   * answers. A lower-case letter means that too few other workers are reachable.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "NN, false", "NNN, true", "NNEN, false", "NNAN, false", "L, true", "EL, true",
    "NNNE, true", "NNNA, false", "nnn, false", "nnnN, true", "l, false", "lN, true"
  })
  void eventsDetermineReachability(String events, boolean unreachable) {
    for (int i = 0; i < events.length(); i++) {
      char event = events.charAt(i);
      boolean othersReachable = Character.isUpperCase(event);
      switch (Character.toUpperCase(event)) {
        case 'N' -> reachability.recordMissedAnswer(START, () -> othersReachable);
        case 'L' -> reachability.recordLeaseExpiry(START, () -> othersReachable);
        case 'E' -> reachability.recordCommandEffect();
        default -> reachability.recordProbeAnswer();
      }
    }
    assertEquals(unreachable, reachability.isUnreachable());
    assertEquals(unreachable ? 7 : 0, reachability.unreachableForS(START.plusSeconds(7)), 1e-9);
  }

  @Test
  void unreachableMachineIsProbedAtIntervals() {
    assertFalse(reachability.isProbeDue(START));
    reachability.recordLeaseExpiry(START, () -> true);
    assertTrue(reachability.isProbeDue(START));
    assertFalse(reachability.isProbeDue(START.plusSeconds(4.9)));
    assertTrue(reachability.isProbeDue(START.plusSeconds(5.1)));
    reachability.recordProbeAnswer();
    assertFalse(reachability.isProbeDue(START.plusSeconds(20)));
  }
}
