package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.DirectStore;
import org.ternhinge.sim.InMemoryStore;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.wire.Json;

/** Loading of job records of which some can't be decoded. */
class LedgerLoaderTest {
  private static final JobId JOB = new JobId("wk-1");
  private static final JobId OTHER = new JobId("wk-2");
  private static final int VALUE_BYTES = 8 * 1024;

  /** Enough for several segments. */
  private static final int TASKS = 2000;

  private final SimClock clock = new SimClock();
  private final InMemoryStore store = new InMemoryStore(clock);
  private final List<JobId> loaded = new ArrayList<>();

  private void put(String key, ObjectNode value) {
    store.compareAndSwap(new CompareAndSwap(List.of(), List.of(new Change.Put(key, value, 0))));
  }

  private ObjectNode putJob(JobId id) {
    ObjectNode body = SubmissionJson.smallJob(id.value(), "batch", TASKS);
    ObjectNode record = RecordCodec.encodeNew(SubmissionJson.parse(body), 1, VALUE_BYTES);
    put(Keys.job(id), record);
    return record;
  }

  private void load() {
    new LedgerLoader(new DirectStore(store), clock, new ReentrantLock())
        .load(state -> state.jobs().forEach(job -> loaded.add(job.spec().id())));
  }

  private static ObjectNode segment(String done, String open) {
    ObjectNode value = Json.object().put("d", done);
    value.putArray("o").add(open);
    return value;
  }

  @Test
  void readableSegmentsAreLoaded() {
    putJob(JOB);
    put(Keys.segment(JOB, 1), segment("", "1:n-000001:1:0:1500"));
    load();
    assertEquals(List.of(JOB), loaded);
  }

  /**
   * Guards against second starts: the tasks of a segment that can't be decoded may be running or
   * done, so the job must not be scheduled without that segment.
   */
  @ParameterizedTest(name = "done {0}, open {1}")
  @CsvSource({
    "x,         1:n-000001:1:0:1500",
    "'',        not an attempt",
    "'',        1:n-000001:1:0:x",
    "'',        1:n-000001:one:0:1500",
    "'',        1:n-000001:1:0:2000",
    "1999-2000, 1:n-000001:1:0:1500"
  })
  void jobWithUnreadableSegmentIsSkipped(String done, String open) {
    putJob(JOB);
    put(Keys.segment(JOB, 1), segment(done, open));
    putJob(OTHER);
    load();
    assertEquals(List.of(OTHER), loaded);
  }

  /** Guards against a record that stops the loading of all others. */
  @ParameterizedTest(name = "{0}: {1}")
  @CsvSource({"f, 999999", "f, x", "d, x", "d, 1999-2000", "p, 0"})
  void unreadableFirstSegmentIsSkipped(String field, String value) {
    put(Keys.job(JOB), putJob(JOB).put(field, value));
    putJob(OTHER);
    load();
    assertEquals(List.of(OTHER), loaded);
  }
}
