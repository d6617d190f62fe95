package org.ternhinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.JobId;
import org.ternhinge.model.TaskId;

/** The history reports seeded violations and no others. */
class TaskHistoryTest {
  private static final JobId JOB = new JobId("wk-1");
  private static final TaskId TASK = new TaskId(JOB, 0);

  private final TaskHistory history = new TaskHistory();

  @Test
  void validHistoryHasNoViolations() {
    history.recordStart(1, TASK, "n-1", "west");
    assertEquals(Set.of(TASK), history.liveIn("west"));
    history.recordRemoval(TASK, "n-1", false);
    history.recordStart(2, TASK, "n-2", "east");
    history.recordAnswer(JOB, "running", 1);
    history.recordRemoval(TASK, "n-2", true);
    history.recordAnswer(JOB, "done", 1);
    history.recordAnswer(JOB, "done", 1);
    assertEquals(List.of(), history.violations());
    assertEquals(Set.of(), history.liveIn("west"));
  }

  @Test
  void concurrentAttemptsAreReported() {
    history.recordStart(1, TASK, "n-1", "west");
    history.recordStart(2, TASK, "n-2", "east");
    assertEquals(1, history.violations().size());
  }

  @Test
  void prematureAndRevokedDoneAreReported() {
    history.recordAnswer(JOB, "done", 1);
    history.recordRemoval(TASK, "n-1", true);
    history.recordAnswer(JOB, "running", 1);
    history.recordAnswer(JOB, "cancelled", 1);
    assertEquals(3, history.violations().size());
  }
}
