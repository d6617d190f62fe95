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

/** Repartitioning of segments of 127 tasks, written under a limit of 8 KiB, for one of 2 KiB. */
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
    job.record().setRevision(0, new Revision(3));
    ledger.add(job);
    return job;
  }

  private static int targetSegments(Job job) {
    int size = RecordSize.segmentSize(job.spec(), VALUE_BYTES);
    return (TASKS + size - 1) / size;
  }

  private static TransactionDraft buildDraft(RecordRepartitioner repartitioner, int maxChanges) {
    TransactionDraft draft = new TransactionDraft(TERM, maxChanges);
    repartitioner.addTo(draft);
    return draft;
  }

  @Test
  void recordIsWrittenAsAWholeOnceTokensSuffice() {
    Job job = accept("wk-1", "daemon");
    int count = targetSegments(job);
    RecordRepartitioner repartitioner = new RecordRepartitioner(ledger, 16);
    repartitioner.request(job);
    assertTrue(buildDraft(repartitioner, count - 1).isEmpty(), "never written partially");
    assertEquals(OLD_SEGMENT_SIZE, job.record().segmentSize());
    LedgerTransaction sent = buildDraft(repartitioner, count).build().orElseThrow();
    assertEquals(count, job.record().segments());
    assertEquals(count, sent.size());
    assertEquals(count, sent.recordWrites().size());
    assertEquals(new KeyCondition("j/wk-1", new Revision(3)), sent.request().conditions().get(1));
    for (Change change : sent.request().changes()) {
      assertTrue(Json.bytes(((Change.Put) change).value()).length <= VALUE_BYTES);
    }
    assertTrue(job.record().dirty().isEmpty());
    assertTrue(buildDraft(repartitioner, 16).isEmpty(), "written once");
  }

  @ParameterizedTest(name = "room for {0} changes fewer than needed: too large {1}")
  @CsvSource({"0, false", "1, true"})
  void recordWithTooManySegmentsIsLeftUnchanged(int missing, boolean tooLarge) {
    Job job = accept("wk-1", "daemon");
    RecordRepartitioner repartitioner =
        new RecordRepartitioner(ledger, targetSegments(job) - missing);
    job.record().setRepartitionRequested(true);
    repartitioner.request(job);
    assertEquals(tooLarge, job.record().isRepartitionTooLarge());
    assertEquals(tooLarge, buildDraft(repartitioner, 16).isEmpty());
    assertTrue(!job.record().isRepartitionRequested(), "request is cleared");
  }

  @Test
  void requestIsIgnoredWhileAnotherIsPending() {
    Job first = accept("wk-1", "daemon");
    Job second = accept("wk-2", "daemon");
    RecordRepartitioner repartitioner = new RecordRepartitioner(ledger, 16);
    repartitioner.request(first);
    repartitioner.request(second);
    assertEquals("j/wk-1", buildDraft(repartitioner, 16).build().orElseThrow().probe().key());
    assertTrue(buildDraft(repartitioner, 16).isEmpty(), "second request was ignored");
  }

  @Test
  void requestIsDroppedOnceRepartitioningIsNotPermitted() {
    Job job = accept("wk-1", "daemon");
    RecordRepartitioner repartitioner = new RecordRepartitioner(ledger, 16);
    repartitioner.request(job);
    job.record().inFlight().set(0);
    assertTrue(buildDraft(repartitioner, 16).isEmpty());
    job.record().inFlight().clear();
    assertTrue(buildDraft(repartitioner, 16).isEmpty());
  }

  /** An array written under the larger limit has more open attempts than fit smaller segments. */
  @Test
  void recordIsUnchangedIfSegmentWouldStillBeTooLarge() {
    Job job = accept("wk-1", "batch");
    for (int i = 0; i < TASKS; i++) {
      MachineAttributes machine = TestMachines.on(String.format("n-%06d", i), 1234);
      Attempt attempt =
          new Attempt(
              job, i, new AttemptNumber(1), machine.id(), machine.epoch(), 0, true, clock.now());
      job.openAttemptsByTask().put(i, attempt);
    }
    RecordRepartitioner repartitioner = new RecordRepartitioner(ledger, 16);
    repartitioner.request(job);
    assertTrue(buildDraft(repartitioner, 16).isEmpty());
    assertEquals(OLD_SEGMENT_SIZE, job.record().segmentSize());
  }
}
