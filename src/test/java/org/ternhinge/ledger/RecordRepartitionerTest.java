package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Team;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.Revision;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.store.Change;
import org.ternhinge.store.KeyCondition;
import org.ternhinge.wire.Json;

/** Records with segments for 127 tasks, as under 8 KiB, where 2 KiB is the limit now. */
class RecordRepartitionerTest {
  private static final Revision TERM = new Revision(7);
  private static final int VALUE_BYTES = 2048;
  private static final int TASKS = 140;
  private static final int OLD_SEGMENT_SIZE = 127;

  private final SimClock clock = new SimClock();
  private final Ledger ledger =
      new Ledger(Map.of("red", new Team("red", 0, 0, 0, 0)), VALUE_BYTES, clock);

  private Job accept(String id, String kind) {
    ObjectNode json =
        SubmissionJson.smallJob(id, kind, TASKS).put("cpus", 0.001).put("memory_gb", 0.001);
    Job job = new Job(SubmissionJson.parse(json), 1, OLD_SEGMENT_SIZE);
    job.record().revision(0, new Revision(3));
    ledger.add(job);
    return job;
  }

  private static int targetSegments(Job job) {
    int size = RecordSize.segmentSize(job.spec(), VALUE_BYTES);
    return (TASKS + size - 1) / size;
  }

  private static TransactionDraft offer(RecordRepartitioner repartitioner, int maxChanges) {
    TransactionDraft draft = new TransactionDraft(TERM, maxChanges);
    repartitioner.addTo(draft);
    return draft;
  }

  @Test
  void aRecordIsWrittenAsAWholeOnceTheTokensAreThere() {
    Job job = accept("wk-1", "daemon");
    int count = targetSegments(job);
    RecordRepartitioner repartitioner = new RecordRepartitioner(ledger, 16);
    repartitioner.request(job);
    assertTrue(offer(repartitioner, count - 1).isEmpty(), "never in part");
    assertEquals(OLD_SEGMENT_SIZE, job.record().segmentSize());
    LedgerTransaction sent = offer(repartitioner, count).build().orElseThrow();
    assertEquals(count, job.record().segments());
    assertEquals(count, sent.size());
    assertEquals(count, sent.recordWrites().size());
    assertEquals(new KeyCondition("j/wk-1", new Revision(3)), sent.request().conditions().get(1));
    for (Change change : sent.request().changes()) {
      assertTrue(Json.bytes(((Change.Put) change).value()).length <= VALUE_BYTES);
    }
    assertTrue(job.record().dirty().isEmpty());
    assertTrue(offer(repartitioner, 16).isEmpty(), "once");
  }

  @ParameterizedTest(name = "room for {0} changes fewer than needed: too large {1}")
  @CsvSource({"0, false", "1, true"})
  void aRecordOfMoreSegmentsThanATransactionHoldsIsLeftAlone(int missing, boolean tooLarge) {
    Job job = accept("wk-1", "daemon");
    RecordRepartitioner repartitioner =
        new RecordRepartitioner(ledger, targetSegments(job) - missing);
    job.record().repartitionWanted(true);
    repartitioner.request(job);
    assertEquals(tooLarge, job.record().repartitionTooLarge());
    assertEquals(tooLarge, offer(repartitioner, 16).isEmpty());
    assertTrue(!job.record().repartitionWanted(), "asked for once");
  }

  @Test
  void oneJobAtATimeKeepsItsTurn() {
    Job first = accept("wk-1", "daemon");
    Job second = accept("wk-2", "daemon");
    RecordRepartitioner repartitioner = new RecordRepartitioner(ledger, 16);
    repartitioner.request(first);
    repartitioner.request(second);
    assertEquals("j/wk-1", offer(repartitioner, 16).build().orElseThrow().probe().key());
    assertTrue(offer(repartitioner, 16).isEmpty(), "the other has to ask again");
  }

  @Test
  void aRecordThatMayNoLongerBeRepartitionedLosesItsTurn() {
    Job job = accept("wk-1", "daemon");
    RecordRepartitioner repartitioner = new RecordRepartitioner(ledger, 16);
    repartitioner.request(job);
    job.record().inFlight().set(0);
    assertTrue(offer(repartitioner, 16).isEmpty());
    job.record().inFlight().clear();
    assertTrue(offer(repartitioner, 16).isEmpty());
  }

  /** An array laid down under the larger limit has more open attempts than small segments hold. */
  @Test
  void aRecordStaysAsItIsWhereASegmentWouldStillBeTooLarge() {
    Job job = accept("wk-1", "batch");
    for (int i = 0; i < TASKS; i++) {
      MachineAttributes machine = TestMachines.on(String.format("n-%06d", i), 1234);
      Attempt attempt =
          new Attempt(
              job,
              i,
              new AttemptNumber(1),
              machine.machine(),
              machine.epoch(),
              0,
              true,
              clock.now());
      job.openMap().put(i, attempt);
    }
    RecordRepartitioner repartitioner = new RecordRepartitioner(ledger, 16);
    repartitioner.request(job);
    assertTrue(offer(repartitioner, 16).isEmpty());
    assertEquals(OLD_SEGMENT_SIZE, job.record().segmentSize());
  }
}
