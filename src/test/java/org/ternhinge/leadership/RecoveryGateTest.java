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
  void deferredActionsRunInOrderWhenGateOpens() {
    gate.defer(() -> executed.add("first " + gate.isOpen()));
    gate.defer(() -> executed.add("second"));
    assertFalse(gate.isOpen());
    assertEquals(List.of(), executed);
    gate.open();
    assertTrue(gate.isOpen());
    assertEquals(List.of("first true", "second"), executed);
  }

  @Test
  void deferredActionsRunOnceWhenLeadershipEnds() {
    gate.defer(() -> executed.add("request " + gate.isOpen()));
    gate.onLeadershipEnded();
    gate.onLeadershipEnded();
    assertEquals(List.of("request false"), executed);
  }

  @Test
  void actionDeferredAgainWaitsForNextCall() {
    gate.defer(() -> gate.defer(() -> executed.add("again")));
    gate.onLeadershipEnded();
    assertEquals(List.of(), executed);
    gate.open();
    assertEquals(List.of("again"), executed);
  }

  /** Guards against a heartbeat whose exception takes the responses to all others. */
  @Test
  void actionThatThrowsDoesNotAffectOthers() {
    gate.defer(() -> executed.add("first"));
    gate.defer(
        () -> {
          throw new IllegalStateException("planned: a deferred action fails");
        });
    gate.defer(() -> executed.add("last"));
    gate.open();
    assertEquals(List.of("first", "last"), executed);
  }
}
