package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.ledger.WriteQueue.Urgency;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SubmissionJson;

/** Queue of the jobs with pending writes. */
class WriteQueueTest {
  private static final double BATCH_S = 1;
  private static final double OVERDUE_S = 5;

  private final SimClock clock = new SimClock();
  private final WriteQueue queue = new WriteQueue(clock);

  private static Job job(String id, String priority) {
    ObjectNode json = SubmissionJson.smallJob(id, "batch", 2).put("forgang", priority);
    return new Job(SubmissionJson.parse(json), 1, 2);
  }

  private Map<Urgency, List<Job>> ready() {
    MonotonicTime now = clock.now();
    return queue.ready(now.plusSeconds(-BATCH_S), now.plusSeconds(-OVERDUE_S));
  }

  /** Ends of tasks are batched, and become as urgent as starts once they are overdue. */
  @ParameterizedTest(name = "{0}, {1}, waiting {2} s: {3}")
  @CsvSource({
    "cancelled, low, 0, CANCELLATIONS",
    "opening, production, 0, PRODUCTION_STARTS",
    "over, production, 0, JOB_ENDS",
    "opening, high, 0, HIGH_PRIORITY_STARTS",
    "opening, normal, 0, STARTS",
    "opening, low, 9, STARTS",
    "task ended, production, 0.5, ",
    "task ended, production, 1.5, TASK_ENDS",
    "task ended, production, 5.5, STARTS",
    "cancelled by dependency, production, 0.5, ",
    "cancelled by dependency, production, 5.5, TASK_ENDS"
  })
  void urgencyDependsOnJobState(String state, String priority, double waiting, Urgency expected) {
    Job job = job("wk-1", priority);
    switch (state) {
      case "cancelled" -> job.cancel();
      case "cancelled by dependency" -> job.cancelByDependency();
      case "over" -> job.markFinished();
      case "opening" -> job.record().setHasUnsentAttempts(true);
      default -> {}
    }
    queue.add(job);
    clock.runFor(waiting);
    ready()
        .forEach(
            (urgency, jobs) -> assertEquals(urgency == expected ? List.of(job) : List.of(), jobs));
  }

  @Test
  void jobKeepsPositionUntilRemoved() {
    Job first = job("wk-1", "normal");
    Job second = job("wk-2", "normal");
    first.record().setHasUnsentAttempts(true);
    second.record().setHasUnsentAttempts(true);
    queue.add(first);
    queue.add(second);
    queue.add(first);
    assertEquals(List.of(first, second), ready().get(Urgency.STARTS));
    queue.remove(first);
    queue.remove(second);
    assertTrue(queue.isEmpty());
  }
}
