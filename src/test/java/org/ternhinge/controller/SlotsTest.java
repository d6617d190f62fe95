package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.model.Revision;
import org.ternhinge.sim.SimClock;
import org.ternhinge.state.Entry;
import org.ternhinge.wire.Json;

class SlotsTest {
  @ParameterizedTest(name = "{0} {1}")
  @CsvSource(
      delimiter = '|',
      value = {
        "r/0 | {\"a\":1,\"b\":2} | a b",
        "r/12 | {\"a\":1} | a",
        "r/t5-3 | {\"leigubeidni\":\"t5-3\"} |",
        "r/-1 | {\"a\":1} |",
        "r/007 | {\"a\":1} |",
        "r/99999999999 | {\"a\":1} |",
        "r/1 | [1,2] |"
      })
  void takesOverItsOwnRecordsAndLeavesOthersAlone(String key, String value, String facts)
      throws Exception {
    LedgerWriter writer = new LedgerWriter(null, null, null, new SimClock(), null, 16, a -> {});
    Slots slots = new Slots(writer, "r/", 8 * 1024);
    List<String> found = new ArrayList<>();
    slots.known(
        new Entry(key, Json.parse(value.getBytes()), new Revision(7)),
        (name, fact) -> found.add(name));
    assertEquals(facts == null ? "" : facts, String.join(" ", found));
  }
}
