package org.ternhinge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Tuning;
import org.ternhinge.election.Election;
import org.ternhinge.leadership.LeadershipRole;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.RecordCodec;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.metrics.JobRequestMetrics;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.DirectStore;
import org.ternhinge.sim.InMemoryStore;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.wire.Json;

/** Lookup of jobs in the key-value store by a node that does not lead. */
class JobLookupTest {
  private static final int VALUE_BYTES = 8 * 1024;

  private final SimClock clock = new SimClock();
  private final DirectStore store = new DirectStore(new InMemoryStore(clock));
  private final JobLookup lookup = new JobLookup(store, new JobRequestMetrics());
  private JobLookup.Result result;
  private DependencyCheck.Result checked;

  private void put(String key, ObjectNode value) {
    CompareAndSwap compareAndSwap =
        new CompareAndSwap(List.of(), List.of(new Change.Put(key, value, 0)));
    AsyncCalls.logExceptions(store.compareAndSwap(compareAndSwap, RequestPriority.ACCEPT));
  }

  /** Stores jobs such as {@code 1:batch 2:done 3:cancelled 4:batch<1.3}. */
  private void storeJobs(String jobs) {
    for (String job : jobs.split(" ", -1)) {
      String[] fixture = job.split("[:<]");
      JobId id = new JobId("wk-" + fixture[0]);
      if (fixture[1].equals("done") || fixture[1].equals("cancelled")) {
        put(Keys.finalRecord(id), Json.object().put("s", fixture[1]).put("n", 1));
      } else {
        put(Keys.job(id), record(id, fixture));
      }
    }
  }

  private static ObjectNode record(JobId id, String[] fixture) {
    ObjectNode body = SubmissionJson.smallJob(id.value(), fixture[1], 1);
    if (fixture.length > 2) {
      ArrayNode names = body.putArray("bidur_eftir");
      for (String name : fixture[2].split("\\.", -1)) {
        names.add("wk-" + name);
      }
    }
    return RecordCodec.encodeNew(SubmissionJson.parse(body), 1, VALUE_BYTES);
  }

  private String found() {
    if (result instanceof JobLookup.Found found) {
      return found.state().phase().wireName() + (found.service() ? " service" : "");
    }
    return result instanceof JobLookup.Absent ? "absent" : "unavailable";
  }

  @ParameterizedTest(name = "{0}: {1} is {2}")
  @CsvSource({
    // stored jobs, job, result
    "1:batch,                               1, queued",
    "1:daemon,                              1, queued service",
    "1:done,                                1, done",
    "1:cancelled,                           1, cancelled",
    "1:batch,                               2, absent",
    "1:batch 2:batch<1,                     2, queued",
    "1:done 2:batch<1,                      2, queued",
    "1:cancelled 2:batch<1,                 2, cancelled",
    "1:cancelled 2:batch<1 3:batch<2,       3, cancelled",
    "1:batch 2:cancelled 3:batch<1.2,       3, cancelled",
    "2:batch<1,                             2, unavailable",
    "1:batch 2:batch<1 3:batch<1 4:batch<2.3, 4, queued",
  })
  void stateReflectsDependencies(String jobs, int job, String expected) {
    storeJobs(jobs);
    lookup.find(new JobId("wk-" + job), RequestPriority.QUERY, found -> result = found);
    assertEquals(expected, found());
  }

  /** For a longer chain the state must be unavailable, since only the leader has it in memory. */
  @ParameterizedTest(name = "{0} jobs")
  @CsvSource({"64, queued", "66, unavailable"})
  void dependencyChainIsReadUpToLimit(int jobs, String expected) {
    storeJobs("1:batch");
    for (int i = 2; i <= jobs; i++) {
      storeJobs(i + ":batch<" + (i - 1));
    }
    lookup.find(new JobId("wk-" + jobs), RequestPriority.QUERY, found -> result = found);
    assertEquals(expected, found());
  }

  @ParameterizedTest(name = "{0}: dependencies {1}: {2}")
  @CsvSource({
    // stored jobs, dependencies, outcome of the check
    "1:batch 2:done,      1 2, passed",
    "1:batch 2:cancelled, 2 1, cancelled",
    "1:batch 2:cancelled, 1 2, cancelled",
    "1:batch,             1 2, wk-2 was never accepted",
    "1:batch 2:daemon,    1 2, wk-2 is a service",
    "2:batch<1,           2,   unavailable",
  })
  void dependenciesAreCheckedInStore(String jobs, String dependencies, String expected) {
    storeJobs(jobs);
    Election election =
        new Election(
            "node-0",
            store,
            clock,
            Tuning.DEFAULT,
            1,
            new ReentrantLock(),
            new java.util.SplittableRandom(1));
    LeadershipRole role = new LeadershipRole("node-0", election);
    List<JobId> ids = new ArrayList<>();
    for (String name : dependencies.split(" ", -1)) {
      ids.add(new JobId("wk-" + name));
    }
    new DependencyCheck(role, lookup, new ReentrantLock()).check(ids, found -> checked = found);
    assertNotNull(checked);
    assertEquals(expected, outcome());
  }

  private String outcome() {
    if (checked instanceof DependencyCheck.Passed passed) {
      return passed.verdict().cancelled() ? "cancelled" : "passed";
    }
    return checked instanceof DependencyCheck.Rejected rejected ? rejected.reason() : "unavailable";
  }

  @Test
  void unreadableRecordDoesNotKeepLaterLookupsOfTheJobWaiting() {
    JobId id = new JobId("wk-1");
    put(Keys.job(id), Json.object().put("d", "not a range"));
    lookup.find(id, RequestPriority.QUERY, found -> {});
    lookup.find(id, RequestPriority.QUERY, found -> result = found);
    assertEquals(JobLookup.UNAVAILABLE, result);
  }
}
