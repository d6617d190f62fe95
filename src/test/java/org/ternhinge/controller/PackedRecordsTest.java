package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.model.Revision;
import org.ternhinge.model.Term;
import org.ternhinge.sim.DirectStore;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.StoreCore;
import org.ternhinge.state.Change;
import org.ternhinge.state.Entry;
import org.ternhinge.state.Txn;
import org.ternhinge.wire.Json;

class PackedRecordsTest {
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
    PackedRecords slots = new PackedRecords(writer, "r/", 8 * 1024);
    List<String> found = new ArrayList<>();
    slots.known(
        new Entry(key, Json.parse(value.getBytes()), new Revision(7)),
        (name, fact) -> found.add(name));
    assertEquals(facts == null ? "" : facts, String.join(" ", found));
  }

  /**
   * Records of rentals and returns as the version in production writes them. What is read is
   * written back the same around what is new.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "r/0 | {\"t5-3\":{\"leigubeidni\":\"t5-3\",\"velagerd\":\"small\",\"svaedi\":\"east\","
            + "\"lanvelar\":true,\"count\":12}} | t5-3 | t5-4",
        "x/0 | {\"n-000007\":true} | n-000007 | n-000008"
      })
  void recordsOfProductionAreWrittenBack(String key, String value, String known, String next)
      throws Exception {
    SimClock clock = new SimClock();
    StoreCore core = new StoreCore(clock);
    core.txn(
        new Txn(
            Map.of(),
            List.of(
                new Change.Put("term", Json.object().put("n", 1), 0),
                new Change.Put(key, Json.parse(value.getBytes(StandardCharsets.UTF_8)), 0))));
    Revision term = core.get("term").entry().orElseThrow().revision();
    Ledger ledger = new Ledger(Map.of(), 8192, clock);
    LedgerWriter writer =
        new LedgerWriter(
            ledger,
            new DirectStore(core),
            new Leader(term),
            clock,
            new ReentrantLock(),
            16,
            a -> {});
    PackedRecords slots = new PackedRecords(writer, key.substring(0, 2), 8192);
    List<String> found = new ArrayList<>();
    slots.known(core.get(key).entry().orElseThrow(), (name, fact) -> found.add(name + fact));
    String fact = Json.parse(value.getBytes(StandardCharsets.UTF_8)).get(known).toString();
    assertEquals(List.of(known + fact), found);
    slots.put(next, Json.object(), () -> found.add("durable"));
    assertEquals("durable", found.get(1));
    assertEquals(2, core.get(key).entry().orElseThrow().value().size());
    slots.remove(next);
    assertEquals(value, core.get(key).entry().orElseThrow().value().toString());
    slots.remove(known);
    assertEquals("{}", core.get(key).entry().orElseThrow().value().toString());
  }

  private record Leader(Revision termRevision) implements Authority {
    @Override
    public Term term() {
      return new Term(1);
    }

    @Override
    public boolean valid() {
      return true;
    }

    @Override
    public void raised(Term term, Revision revision) {}

    @Override
    public void lost(String why) {
      throw new AssertionError(why);
    }
  }
}
