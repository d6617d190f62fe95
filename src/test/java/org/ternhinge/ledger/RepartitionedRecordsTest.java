package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.ternhinge.ledger.ProductionLiterals.text;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import org.junit.jupiter.api.Test;
import org.ternhinge.config.Team;
import org.ternhinge.ledger.Ledger.Placement;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Revision;
import org.ternhinge.sim.DirectStore;
import org.ternhinge.sim.InMemoryStore;
import org.ternhinge.sim.PermanentAuthority;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.Entry;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/**
 * Records that were written under a larger limit on value sizes and repartitioned into smaller
 * segments, byte for byte. The literals were written by the code of commit d679fcc, the first
 * version with repartitioning; its records must stay readable and are written in the same form.
 */
class RepartitionedRecordsTest {
  private static final JobId JOB = new JobId("wk-000002");
  private static final int SMALL_VALUE_BYTES = 900;

  private static final String SPEC =
      "{\"s\":{\"ref\":\"wk-000002\",\"runflokkur\":\"c\",\"eigandi\":\"red\",\"gerd\":\"KIND\","
          + "\"forgang\":\"normal\",\"verkbitar\":20,\"cpus\":1.0,\"accelerators\":0.0,"
          + "\"memory_gb\":1.0,\"mynd\":\"img-1\",\"pull_gb\":1.0,\"together\":false,"
          + "\"scatter\":false,\"lanvelar\":true,\"aaetlun_s\":10.0,\"vista_bil_s\":0.0,"
          + "\"vistun_s\":0.0},\"t\":1700000000123,";

  private final SimClock clock = new SimClock();
  private final InMemoryStore core = new InMemoryStore(clock);
  private final Ledger ledger =
      new Ledger(Map.of("red", new Team("red", 0, 0, 0, 0)), SMALL_VALUE_BYTES, clock);

  /** A service is repartitioned when attempts of its tasks do not fit the record. */
  @Test
  void recordsOfRepartitionedServiceAreUnchanged() throws WireException {
    ObjectNode large = stored("daemon");
    large.put("h", 3);
    ArrayNode open = (ArrayNode) large.get("o");
    for (int i = 0; i < 15; i++) {
      open.add(String.format("3:n-%06d:%d:%d:%d", 100 + i, 1 + i % 3, i % 2, i));
    }
    Job job = adopt(large);
    assertEquals(0, ledger.filterFitting(job, placements(15)).size(), "placements that fit");
    ledger.requestRecordSpace(job);
    write();
    assertEquals(
        List.of(
            SPEC.replace("KIND", "daemon")
                + "\"p\":10,\"h\":3,\"d\":\"\",\"o\":[\"3:n-000100:1:0:0\",\"3:n-000101:2:1:1\","
                + "\"3:n-000102:3:0:2\",\"3:n-000103:1:1:3\",\"3:n-000104:2:0:4\","
                + "\"3:n-000105:3:1:5\",\"3:n-000106:1:0:6\",\"3:n-000107:2:1:7\","
                + "\"3:n-000108:3:0:8\",\"3:n-000109:1:1:9\"]}",
            "{\"d\":\"\",\"o\":[\"3:n-000110:2:0:10\",\"3:n-000111:3:1:11\","
                + "\"3:n-000112:1:0:12\",\"3:n-000113:2:1:13\",\"3:n-000114:3:0:14\"]}"),
        segments());
    assertReadBack(job);
  }

  /** A gang is repartitioned when it starts, since its record contains no tasks while it waits. */
  @Test
  void recordsOfRepartitionedGangAreUnchanged() throws WireException {
    Job job = adopt(stored("group"));
    assertEquals(Optional.empty(), ledger.open(job, placements(0), task -> false, clock.now()));
    write();
    assertEquals(
        List.of(
            SPEC.replace("KIND", "group")
                + "\"p\":10,\"h\":1,\"d\":\"\",\"o\":[\"1:n-000200:1:0:0\",\"1:n-000201:1:0:1\","
                + "\"1:n-000202:1:0:2\",\"1:n-000203:1:0:3\",\"1:n-000204:1:0:4\","
                + "\"1:n-000205:1:0:5\",\"1:n-000206:1:0:6\",\"1:n-000207:1:0:7\","
                + "\"1:n-000208:1:0:8\",\"1:n-000209:1:0:9\"]}",
            "{\"d\":\"\",\"o\":[\"1:n-000210:1:0:10\",\"1:n-000211:1:0:11\","
                + "\"1:n-000212:1:0:12\",\"1:n-000213:1:0:13\",\"1:n-000214:1:0:14\","
                + "\"1:n-000215:1:0:15\",\"1:n-000216:1:0:16\",\"1:n-000217:1:0:17\","
                + "\"1:n-000218:1:0:18\",\"1:n-000219:1:0:19\"]}"),
        segments());
    assertReadBack(job);
  }

  private ObjectNode stored(String kind) throws WireException {
    ObjectNode record =
        RecordCodec.encodeNew(
            SubmissionJson.parse(SubmissionJson.smallJob(JOB.value(), kind, 20)),
            1_700_000_000_123L,
            8192);
    String expected = SPEC.replace("KIND", kind) + "\"p\":127,\"h\":0,\"d\":\"\",\"o\":[]}";
    assertEquals(expected, text(record));
    return record;
  }

  private Job adopt(ObjectNode record) throws WireException {
    core.compareAndSwap(
        new CompareAndSwap(
            List.of(),
            List.of(
                new Change.Put(Keys.TERM, Json.object().put("n", 1), 0),
                new Change.Put(Keys.job(JOB), record, 0))));
    Entry entry = core.get(Keys.job(JOB)).entry().orElseThrow();
    Job job = RecordCodec.decodeFirst(entry.value(), entry.revision(), clock.now());
    ledger.add(job);
    return job;
  }

  private static List<Placement> placements(int from) {
    return LargeMachines.placements(
        from, 20, index -> LargeMachines.of("n-000" + (200 + index), 1, 0));
  }

  private void write() {
    Revision term = core.get(Keys.TERM).entry().orElseThrow().revision();
    LedgerWriter writer =
        new LedgerWriter(
            ledger,
            new DirectStore(core),
            new PermanentAuthority(term),
            clock,
            new ReentrantLock(),
            16,
            opened -> {});
    writer.sendNext();
    clock.runFor(3);
  }

  private List<String> segments() {
    List<String> out = new ArrayList<>();
    for (int segment = 0; core.get(Keys.segment(JOB, segment)).entry().isPresent(); segment++) {
      out.add(text(core.get(Keys.segment(JOB, segment)).entry().get().value()));
    }
    return out;
  }

  /** Asserts that the next leader reads the same attempts from the segments. */
  private void assertReadBack(Job written) throws WireException {
    Job read = null;
    for (int segment = 0; segment < segments().size(); segment++) {
      Entry entry = core.get(Keys.segment(JOB, segment)).entry().orElseThrow();
      if (segment == 0) {
        read = RecordCodec.decodeFirst(entry.value(), entry.revision(), clock.now());
      } else {
        RecordCodec.decodeTasks(read, segment, entry.value(), entry.revision(), clock.now());
      }
    }
    assertEquals(OpenAttempts.of(written), OpenAttempts.of(read));
  }
}
