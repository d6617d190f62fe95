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
  private final List<String> ran = new ArrayList<>();

  @Test
  void delayedRequestsRunInOrderWhenTheGateOpens() {
    gate.runLater(() -> ran.add("first " + gate.isOpen()));
    gate.runLater(() -> ran.add("second"));
    assertFalse(gate.isOpen());
    assertEquals(List.of(), ran);
    gate.open();
    assertTrue(gate.isOpen());
    assertEquals(List.of("first true", "second"), ran);
  }

  @Test
  void delayedRequestsRunOnceWhenTheLeadershipEndsBefore() {
    gate.runLater(() -> ran.add("request " + gate.isOpen()));
    gate.abandon();
    gate.abandon();
    assertEquals(List.of("request false"), ran);
  }

  @Test
  void aRequestThatDelaysItselfAgainWaitsForTheNextCall() {
    gate.runLater(() -> gate.runLater(() -> ran.add("again")));
    gate.abandon();
    assertEquals(List.of(), ran);
    gate.open();
    assertEquals(List.of("again"), ran);
  }
}
