package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.MonotonicTime;

/** When a machine counts as unreachable by commands, and how often it is probed then. */
class CommandReachabilityTest {
  private static final MonotonicTime START = new MonotonicTime(0);
  private final CommandReachability reachability = new CommandReachability();

  /** N: no effect, E: took effect, A: answered, L: lease lapsed; small: others have it too. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "NN, false", "NNN, true", "NNEN, false", "NNAN, false", "L, true", "EL, true",
    "NNNE, true", "NNNA, false", "nnn, false", "nnnN, true", "l, false", "lN, true"
  })
  void commandsAreLost(String events, boolean lost) {
    for (int i = 0; i < events.length(); i++) {
      char event = events.charAt(i);
      boolean othersReachable = Character.isUpperCase(event);
      switch (Character.toUpperCase(event)) {
        case 'N' -> reachability.answerMissed(START, () -> othersReachable);
        case 'L' -> reachability.leaseLapsed(START, () -> othersReachable);
        case 'E' -> reachability.effectSeen();
        default -> reachability.probeAnswered();
      }
    }
    assertEquals(lost, reachability.unreachable());
    assertEquals(lost ? 7 : 0, reachability.unreachableFor(START.plusSeconds(7)), 1e-9);
  }

  @Test
  void aMachineIsProbedAtIntervalsWhileCommandsAreLost() {
    assertFalse(reachability.isProbeDue(START));
    reachability.leaseLapsed(START, () -> true);
    assertTrue(reachability.isProbeDue(START));
    assertFalse(reachability.isProbeDue(START.plusSeconds(4.9)));
    assertTrue(reachability.isProbeDue(START.plusSeconds(5.1)));
    reachability.probeAnswered();
    assertFalse(reachability.isProbeDue(START.plusSeconds(20)));
  }
}
