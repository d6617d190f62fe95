package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.TaskState;
import org.ternhinge.wire.TaskStatus;

/** Counting of the tasks listed in heartbeats. */
class ReportedTaskCountsTest {
  private static final MonotonicTime NOW = new MonotonicTime(0);
  private static final TaskId TASK = new TaskId(new JobId("wk-1"), 0);
  private static final TaskStatus RUNNING = status(TaskState.RUNNING, null);
  private static final TaskStatus ENDED = status(TaskState.ENDED, EndReason.DONE);

  private final ReportedTaskCounts reportedTasks = new ReportedTaskCounts();
  private final Machine first = new Machine(new MachineId("n-1"), NOW, NOW);
  private final Machine second = new Machine(new MachineId("n-2"), NOW, NOW);

  private static TaskStatus status(TaskState state, EndReason endReason) {
    return new TaskStatus(TASK, new AttemptNumber(1), state, endReason, false);
  }

  @Test
  void taskIsReportedUntilNoMachineListsIt() {
    assertFalse(reportedTasks.isReported(TASK));
    reportedTasks.update(first, List.of(RUNNING));
    reportedTasks.update(second, List.of(RUNNING));
    reportedTasks.update(first, List.of());
    assertTrue(reportedTasks.isReported(TASK));
    reportedTasks.update(second, List.of());
    assertFalse(reportedTasks.isReported(TASK));
  }

  @Test
  void endedTaskIsNotReported() {
    reportedTasks.update(first, List.of(RUNNING));
    reportedTasks.update(first, List.of(ENDED));
    assertFalse(reportedTasks.isReported(TASK));
    reportedTasks.update(first, List.of());
    assertFalse(reportedTasks.isReported(TASK));
  }

  @Test
  void taskListedAgainCountsOnce() {
    reportedTasks.update(first, List.of(RUNNING));
    reportedTasks.update(first, List.of(RUNNING));
    assertEquals(List.of(RUNNING), first.tasks());
    reportedTasks.update(first, List.of());
    assertFalse(reportedTasks.isReported(TASK));
  }
}
