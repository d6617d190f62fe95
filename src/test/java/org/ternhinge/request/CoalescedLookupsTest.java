package org.ternhinge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobState;

/** Coalescing of concurrent lookups of the same job. */
class CoalescedLookupsTest {
  private static final JobId JOB = new JobId("wk-1");
  private static final JobId OTHER = new JobId("wk-2");

  private final List<Consumer<JobLookup.Result>> running = new ArrayList<>();
  private final List<RequestPriority> priorities = new ArrayList<>();
  private final List<String> answered = new ArrayList<>();
  private final CoalescedLookups lookups =
      new CoalescedLookups(
          (id, priority, then) -> {
            priorities.add(priority);
            running.add(then);
          });

  private void ask(String who, JobId id, RequestPriority priority) {
    lookups.find(id, priority, result -> answered.add(who + " " + phase(result)));
  }

  private static String phase(JobLookup.Result result) {
    return ((JobLookup.Found) result).state().phase().wireName();
  }

  private void answer(int lookup, JobState.Phase phase) {
    running.get(lookup).accept(new JobLookup.Found(new JobState(JOB, phase, 0, 0), false));
  }

  /**
   * A user who asks during a lookup may already have seen a later state than the one that the
   * lookup has read. Its result would show that user an outdated state.
   */
  @Test
  void laterRequestDoesNotShareRunningLookup() {
    ask("first", JOB, RequestPriority.QUERY);
    ask("second", JOB, RequestPriority.QUERY);
    ask("third", JOB, RequestPriority.CANCEL);
    assertEquals(1, running.size());
    answer(0, JobState.Phase.QUEUED);
    assertEquals(List.of("first queued"), answered);
    assertEquals(2, running.size(), "all waiting requests share one lookup");
    assertEquals(
        RequestPriority.CANCEL, priorities.get(1), "the most urgent priority of the batch");
    answer(1, JobState.Phase.CANCELLED);
    assertEquals(List.of("first queued", "second cancelled", "third cancelled"), answered);
    assertEquals(2, running.size());
  }

  @Test
  void concurrentRequestsShareTwoLookups() {
    for (int i = 0; i < 200; i++) {
      ask("user", JOB, RequestPriority.QUERY);
    }
    answer(0, JobState.Phase.RUNNING);
    answer(1, JobState.Phase.RUNNING);
    assertEquals(2, running.size());
    assertEquals(200, answered.size());
  }

  @Test
  void otherJobsAndLaterRequestsUseSeparateLookups() {
    ask("first", JOB, RequestPriority.QUERY);
    ask("other", OTHER, RequestPriority.QUERY);
    assertEquals(2, running.size());
    answer(0, JobState.Phase.RUNNING);
    ask("later", JOB, RequestPriority.QUERY);
    assertEquals(3, running.size());
  }
}
