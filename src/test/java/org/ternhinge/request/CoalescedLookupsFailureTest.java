package org.ternhinge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.JobId;

/** Each request gets exactly one result, whatever the lookup and the other requesters do. */
class CoalescedLookupsFailureTest {
  private static final JobId JOB = new JobId("wk-1");

  private final List<Consumer<JobLookup.Result>> running = new ArrayList<>();
  private final CoalescedLookups lookups =
      new CoalescedLookups((id, priority, callback) -> running.add(callback));
  private final List<String> answered = new ArrayList<>();

  private void ask(CoalescedLookups coalesced, String who) {
    coalesced.find(JOB, RequestPriority.QUERY, result -> answered.add(who));
  }

  private static void throwFromCallback(JobLookup.Result result) {
    throw new IllegalStateException("planned: a requester's callback fails");
  }

  /** Guards against requests that wait for ever behind a lookup that threw. */
  @Test
  void lookupThatThrowsIsUnavailableAndTheNextOneRuns() {
    List<JobLookup.Result> results = new ArrayList<>();
    CoalescedLookups failing =
        new CoalescedLookups(
            (id, priority, callback) -> {
              throw new IllegalStateException("planned: the lookup fails");
            });
    failing.find(JOB, RequestPriority.QUERY, results::add);
    failing.find(JOB, RequestPriority.QUERY, results::add);
    assertEquals(List.of(JobLookup.UNAVAILABLE, JobLookup.UNAVAILABLE), results);
  }

  /** Guards against a callback that takes the result from the others of its batch. */
  @Test
  void callbackThatThrowsDoesNotAffectOthersOfItsBatch() {
    ask(lookups, "first");
    lookups.find(JOB, RequestPriority.QUERY, CoalescedLookupsFailureTest::throwFromCallback);
    ask(lookups, "second");
    running.get(0).accept(JobLookup.ABSENT);
    running.get(1).accept(JobLookup.ABSENT);
    assertEquals(List.of("first", "second"), answered);
  }

  /** Guards against a callback that keeps the next batch waiting for ever. */
  @Test
  void callbackThatThrowsDoesNotAffectNextBatch() {
    lookups.find(JOB, RequestPriority.QUERY, CoalescedLookupsFailureTest::throwFromCallback);
    ask(lookups, "next");
    running.get(0).accept(JobLookup.ABSENT);
    assertEquals(2, running.size(), "the next lookup has started");
    running.get(1).accept(JobLookup.ABSENT);
    ask(lookups, "later");
    running.get(2).accept(JobLookup.ABSENT);
    assertEquals(List.of("next", "later"), answered);
  }

  /** Guards against two results for a request, the second of which would end another batch. */
  @Test
  void secondResultOfLookupIsIgnored() {
    ask(lookups, "first");
    ask(lookups, "second");
    running.get(0).accept(JobLookup.ABSENT);
    running.get(0).accept(JobLookup.UNAVAILABLE);
    assertEquals(List.of("first"), answered);
    running.get(1).accept(JobLookup.ABSENT);
    assertEquals(List.of("first", "second"), answered);
  }

  /** Guards against a stack overflow when results are immediate and a requester asks again. */
  @Test
  void immediateResultsDoNotDeepenTheStack() {
    CoalescedLookups immediate =
        new CoalescedLookups((id, priority, callback) -> callback.accept(JobLookup.ABSENT));
    AtomicInteger left = new AtomicInteger(100_000);
    askAgain(immediate, left);
    assertEquals(0, left.get());
  }

  private static void askAgain(CoalescedLookups immediate, AtomicInteger left) {
    immediate.find(
        JOB,
        RequestPriority.QUERY,
        result -> {
          if (left.decrementAndGet() > 0) {
            askAgain(immediate, left);
          }
        });
  }
}
