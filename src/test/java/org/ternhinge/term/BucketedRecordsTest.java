package org.ternhinge.term;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.BooleanNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.locks.ReentrantLock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.model.Revision;
import org.ternhinge.sim.DirectStore;
import org.ternhinge.sim.InMemoryStore;
import org.ternhinge.sim.PermanentAuthority;
import org.ternhinge.sim.SimClock;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.Entry;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.ProvisionRequest;

/** Packing of entries into records, and their restoration. */
class BucketedRecordsTest {
  /** Records by key, as written by the code of commit d679fcc. */
  private static final Map<String, String> RECORDS_OF_D679FCC =
      Map.of(
          "r/0",
          "{\"t5-1\":{\"leigubeidni\":\"t5-1\",\"velagerd\":\"fast\",\"svaedi\":\"east\","
              + "\"lanvelar\":false,\"count\":11},\"t5-2\":{\"leigubeidni\":\"t5-2\","
              + "\"velagerd\":\"small\",\"svaedi\":\"east\",\"lanvelar\":true,\"count\":12}}",
          "r/1",
          "{\"t5-3\":{\"leigubeidni\":\"t5-3\",\"velagerd\":\"fast\",\"svaedi\":\"west\","
              + "\"lanvelar\":false,\"count\":13},\"t5-4\":{\"leigubeidni\":\"t5-4\","
              + "\"velagerd\":\"small\",\"svaedi\":\"west\",\"lanvelar\":true,\"count\":14}}",
          "r/2",
          "{\"t5-5\":{\"leigubeidni\":\"t5-5\",\"velagerd\":\"fast\",\"svaedi\":\"west\","
              + "\"lanvelar\":false,\"count\":15}}",
          "x/0",
          "{\"n-000002\":true,\"n-000001\":true,\"n-000003\":true}",
          "x/1",
          "{\"n-000005\":true,\"n-000004\":true}");

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
  void ownRecordsAreRestoredAndOthersIgnored(String key, String value, String entries)
      throws Exception {
    LedgerWriter writer = new LedgerWriter(null, null, null, new SimClock(), null, 16, a -> {});
    BucketedRecords records = new BucketedRecords(writer, "r/", 8 * 1024);
    List<String> found = new ArrayList<>();
    records.restore(
        new Entry(key, Json.parse(value.getBytes(StandardCharsets.UTF_8)), new Revision(7)),
        (name, entryValue) -> found.add(name));
    assertEquals(entries == null ? "" : entries, String.join(" ", found));
  }

  /**
   * Records of provision requests and returns as the version in production writes them. Restored
   * entries must be written back unchanged when a new entry is added.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "r/0 | {\"t5-3\":{\"leigubeidni\":\"t5-3\",\"velagerd\":\"small\",\"svaedi\":\"east\","
            + "\"lanvelar\":true,\"count\":12}} | t5-3 | t5-4",
        "x/0 | {\"n-000007\":true} | n-000007 | n-000008"
      })
  void restoredEntriesAreWrittenBackUnchanged(String key, String value, String known, String next)
      throws Exception {
    SimClock clock = new SimClock();
    InMemoryStore core = new InMemoryStore(clock);
    core.compareAndSwap(
        new CompareAndSwap(
            List.of(),
            List.of(
                new Change.Put("term", Json.object().put("n", 1), 0),
                new Change.Put(key, Json.parse(value.getBytes(StandardCharsets.UTF_8)), 0))));
    Revision term = core.get("term").entry().orElseThrow().revision();
    Ledger ledger = new Ledger(Map.of(), 8192, clock);
    LedgerWriter writer =
        new LedgerWriter(
            ledger,
            new DirectStore(core),
            new PermanentAuthority(term),
            clock,
            new ReentrantLock(),
            16,
            a -> {});
    BucketedRecords records = new BucketedRecords(writer, key.substring(0, 2), 8192);
    List<String> found = new ArrayList<>();
    records.restore(
        core.get(key).entry().orElseThrow(), (name, entryValue) -> found.add(name + entryValue));
    String entryValue = Json.parse(value.getBytes(StandardCharsets.UTF_8)).get(known).toString();
    assertEquals(List.of(known + entryValue), found);
    records.put(next, Json.object(), () -> found.add("durable"));
    assertEquals("durable", found.get(1));
    assertEquals(2, core.get(key).entry().orElseThrow().value().size());
    records.remove(next);
    assertEquals(value, core.get(key).entry().orElseThrow().value().toString());
    records.remove(known);
    assertEquals("{}", core.get(key).entry().orElseThrow().value().toString());
  }

  /**
   * The distribution of entries over records with a small size limit, as the code of commit d679fcc
   * writes them: five provision requests, five returns.
   */
  @ParameterizedTest(name = "prefix {0}, records of at most {1} bytes")
  @CsvSource({"r/, 256, 3", "x/, 64, 2"})
  void entriesArePackedAsByEarlierVersion(String prefix, int valueBytes, int records)
      throws Exception {
    SimClock clock = new SimClock();
    InMemoryStore core = new InMemoryStore(clock);
    core.compareAndSwap(
        new CompareAndSwap(
            List.of(), List.of(new Change.Put("term", Json.object().put("n", 1), 0))));
    BucketedRecords written = packed(core, clock, prefix, valueBytes);
    for (int i = 1; i <= 5; i++) {
      if (prefix.equals("r/")) {
        written.put("t5-" + i, provision(i).write(), () -> {});
      } else {
        written.put("n-00000" + i, BooleanNode.TRUE, () -> {});
      }
    }
    clock.runFor(3);
    BucketedRecords read = packed(core, clock, prefix, valueBytes);
    TreeSet<String> found = new TreeSet<>();
    for (int i = 0; i < records; i++) {
      Entry entry = core.get(prefix + i).entry().orElseThrow();
      assertEquals(RECORDS_OF_D679FCC.get(prefix + i), entry.value().toString());
      read.restore(entry, (name, entryValue) -> found.add(name + entryValue));
    }
    assertTrue(core.get(prefix + records).entry().isEmpty());
    TreeSet<String> all = new TreeSet<>();
    for (int i = 1; i <= 5; i++) {
      all.add(prefix.equals("r/") ? "t5-" + i + provision(i).write() : "n-00000" + i + "true");
    }
    assertEquals(all, found);
  }

  private static ProvisionRequest provision(int number) {
    boolean even = number % 2 == 0;
    String zone = number < 3 ? "east" : "west";
    return new ProvisionRequest("t5-" + number, even ? "small" : "fast", zone, even, 10 + number);
  }

  private static BucketedRecords packed(
      InMemoryStore core, SimClock clock, String prefix, int valueBytes) {
    Revision term = core.get("term").entry().orElseThrow().revision();
    LedgerWriter writer =
        new LedgerWriter(
            new Ledger(Map.of(), 8192, clock),
            new DirectStore(core),
            new PermanentAuthority(term),
            clock,
            new ReentrantLock(),
            16,
            a -> {});
    return new BucketedRecords(writer, prefix, valueBytes);
  }
}
