package org.ternhinge.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests when actions run that were deferred until the recovery of the ledger. */
class RecoveryGateTest {
  private final RecoveryGate gate = new RecoveryGate();
  private final List<String> executed = new ArrayList<>();

  @Test
  void delayedRequestsRunInOrderWhenTheGateOpens() {
    gate.runLater(() -> executed.add("first " + gate.isOpen()));
    gate.runLater(() -> executed.add("second"));
    assertFalse(gate.isOpen());
    assertEquals(List.of(), executed);
    gate.open();
    assertTrue(gate.isOpen());
    assertEquals(List.of("first true", "second"), executed);
  }

  @Test
  void delayedRequestsRunOnceWhenTheLeadershipEndsBefore() {
    gate.runLater(() -> executed.add("request " + gate.isOpen()));
    gate.abandon();
    gate.abandon();
    assertEquals(List.of("request false"), executed);
  }

  @Test
  void aRequestThatDelaysItselfAgainWaitsForTheNextCall() {
    gate.runLater(() -> gate.runLater(() -> executed.add("again")));
    gate.abandon();
    assertEquals(List.of(), executed);
    gate.open();
    assertEquals(List.of("again"), executed);
  }
}
