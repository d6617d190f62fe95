package org.ternhinge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.RecordCodec;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.metrics.JobRequestMetrics;
import org.ternhinge.metrics.JobRequestMetrics.Event;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.DirectStore;
import org.ternhinge.sim.InMemoryStore;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;

/** Lookups of jobs whose record, final record or dependency can't be decoded. */
class UnreadableRecordsTest {
  private static final JobId DEPENDENCY = new JobId("wk-1");
  private static final JobId JOB = new JobId("wk-2");
  private static final int VALUE_BYTES = 8 * 1024;

  private final DirectStore store = new DirectStore(new InMemoryStore(new SimClock()));
  private final JobRequestMetrics metrics = new JobRequestMetrics();
  private final JobLookup lookup = new JobLookup(store, metrics);
  private final List<JobLookup.Result> results = new ArrayList<>();

  private void put(String key, JsonNode value) {
    CompareAndSwap write =
        new CompareAndSwap(List.of(), List.of(new Change.Put(key, (ObjectNode) value, 0)));
    AsyncCalls.logExceptions(store.compareAndSwap(write, RequestPriority.ACCEPT));
  }

  private void putDependentJob() {
    ObjectNode body = SubmissionJson.smallJob(JOB.value(), "batch", 1);
    body.putArray("bidur_eftir").add(DEPENDENCY.value());
    put(Keys.job(JOB), RecordCodec.encodeNew(SubmissionJson.parse(body), 1, VALUE_BYTES));
  }

  private void findThreeTimes() {
    for (int i = 0; i < 3; i++) {
      lookup.find(JOB, RequestPriority.QUERY, results::add);
    }
  }

  /** Guards against lookups that are never answered once a record could not be decoded. */
  @ParameterizedTest(name = "{0} of {1}: {2}")
  @CsvSource(
      delimiter = '|',
      value = {
        "record       | wk-2 | {\"d\":\"not a range\"}",
        "record       | wk-2 | {\"d\":\"9-1\"}",
        "record       | wk-2 | {\"d\":\"\",\"f\":\"x\"}",
        "record       | wk-2 | {\"d\":\"\",\"o\":[\"1:n-000001:1:0:x\"]}",
        "final record | wk-2 | {}",
        "final record | wk-2 | {\"s\":\"ended\"}",
        "record       | wk-1 | {\"d\":\"not a range\"}",
        "final record | wk-1 | {\"s\":7}"
      })
  void everyLookupOfUnreadableRecordIsAnswered(String kind, String job, String value)
      throws Exception {
    if (!job.equals(JOB.value())) {
      putDependentJob();
    }
    JobId id = new JobId(job);
    put(
        kind.equals("record") ? Keys.job(id) : Keys.finalRecord(id),
        Json.parse(value.getBytes(StandardCharsets.UTF_8)));
    findThreeTimes();
    assertEquals(
        List.of(JobLookup.UNAVAILABLE, JobLookup.UNAVAILABLE, JobLookup.UNAVAILABLE), results);
    assertEquals(3, metrics.countOf(Event.RECORD_UNREADABLE));
    assertEquals(0, metrics.countOf(Event.STORE_NO_RESPONSE), "the store did respond");
  }

  /** Guards against an entry that keeps a job unavailable after its record is readable again. */
  @Test
  void jobIsFoundAfterItsRecordWasRepaired() {
    put(Keys.job(JOB), Json.object().put("d", "not a range"));
    findThreeTimes();
    put(Keys.job(JOB), RecordCodec.encodeNew(spec(), 1, VALUE_BYTES));
    results.clear();
    findThreeTimes();
    assertEquals(3, results.stream().filter(JobLookup.Found.class::isInstance).count());
  }

  private static JobSpec spec() {
    return SubmissionJson.parse(SubmissionJson.smallJob(JOB.value(), "batch", 1));
  }
}
