package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.Revision;
import org.ternhinge.sim.SimClock;
import org.ternhinge.store.KeyCondition;
import org.ternhinge.wire.Json;

/** Writes to keys other than jobs' records. */
class AuxiliaryWritesTest {
  private static final Revision TERM = new Revision(7);
  private static final int VALUE_BYTES = 2048;

  private final AuxiliaryWrites writes =
      new AuxiliaryWrites(new Ledger(Map.of(), VALUE_BYTES, new SimClock()), null);
  private final List<String> durable = new ArrayList<>();

  private LedgerTransaction next(int maxChanges) {
    TransactionDraft draft = new TransactionDraft(TERM, maxChanges);
    writes.addTo(draft);
    return draft.build().orElseThrow();
  }

  @Test
  void requestsForSameKeyAreMergedUntilWritten() {
    writes.request("r/0", () -> Json.object().put("n", 1), () -> durable.add("first"));
    writes.request("r/0", () -> Json.object().put("n", 1), () -> durable.add("second"));
    LedgerTransaction sent = next(16);
    assertEquals(1, sent.size());
    assertTrue(writes.isEmpty());
    writes.onApplied(sent.auxiliaryWrites(), new Revision(9));
    assertEquals(List.of("first", "second"), durable);
    writes.request("r/0", Json::object, () -> {});
    assertEquals(new KeyCondition("r/0", new Revision(9)), next(16).request().conditions().get(1));
  }

  @Test
  void keyOfEarlierLeaderIsConditionalOnItsRevision() {
    writes.setRevision("r/1", new Revision(5));
    writes.request("r/1", Json::object, () -> {});
    writes.request("r/2", Json::object, () -> {});
    List<KeyCondition> conditions = next(16).request().conditions();
    assertEquals(new KeyCondition("r/1", new Revision(5)), conditions.get(1));
    assertEquals(KeyCondition.absent("r/2"), conditions.get(2));
  }

  @Test
  void writeThatDoesNotFitStaysPending() {
    writes.request("r/0", Json::object, () -> {});
    writes.request("r/1", Json::object, () -> {});
    TransactionDraft draft = new TransactionDraft(TERM, 1);
    assertFalse(writes.addTo(draft));
    assertFalse(writes.isEmpty());
    assertEquals("r/1", next(1).request().changes().get(0).key());
  }

  /** The value was written under a larger limit, so the key-value store would reject it. */
  @Test
  void oversizedValueStaysPendingUntilItFits() {
    int[] bytes = {VALUE_BYTES};
    writes.request("r/0", () -> Json.object().put("n", "x".repeat(bytes[0])), () -> {});
    writes.request("r/1", Json::object, () -> {});
    assertEquals("r/1", next(16).request().changes().get(0).key());
    assertFalse(writes.isEmpty());
    bytes[0] = VALUE_BYTES / 2;
    assertEquals("r/0", next(16).request().changes().get(0).key());
  }
}
