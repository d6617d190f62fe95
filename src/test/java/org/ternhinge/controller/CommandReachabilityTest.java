package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.SteadyTime;

class CommandReachabilityTest {
  private static final SteadyTime START = new SteadyTime(0);
  private final CommandReachability reachability = new CommandReachability();

  /** N: no effect, E: took effect, A: answered, L: lease lapsed; small: others have it too. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "NN, false", "NNN, true", "NNEN, false", "NNAN, false", "L, true", "EL, true",
    "NNNE, true", "NNNA, false", "nnn, false", "nnnN, true", "l, false", "lN, true"
  })
  void commandsAreLost(String events, boolean lost) {
    for (char event : events.toCharArray()) {
      boolean othersReachable = Character.isUpperCase(event);
      switch (Character.toUpperCase(event)) {
        case 'N' -> reachability.noEffect(START, othersReachable);
        case 'L' -> reachability.leaseLapsed(START, othersReachable);
        case 'E' -> reachability.tookEffect();
        default -> reachability.answered();
      }
    }
    assertEquals(lost, reachability.commandsLost());
    assertEquals(lost ? 7 : 0, reachability.commandsLostForS(START.plusSeconds(7)), 1e-9);
  }

  @Test
  void aMachineIsProbedAtIntervalsWhileCommandsAreLost() {
    assertFalse(reachability.probeDue(START));
    reachability.leaseLapsed(START, true);
    assertTrue(reachability.probeDue(START));
    assertFalse(reachability.probeDue(START.plusSeconds(4.9)));
    assertTrue(reachability.probeDue(START.plusSeconds(5.1)));
    reachability.answered();
    assertFalse(reachability.probeDue(START.plusSeconds(20)));
  }
}
