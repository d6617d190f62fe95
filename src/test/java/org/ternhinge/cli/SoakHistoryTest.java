package org.ternhinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.JobId;
import org.ternhinge.model.TaskId;

/** The history of a soak run reports planted violations and no others. */
class SoakHistoryTest {
  private static final JobId JOB = new JobId("wk-000001");
  private static final TaskId TASK = new TaskId(JOB, 0);
  private static final double CANCEL_S = 10;
  private static final int MAX_TASKS = 1;

  private final TaskHistory tasks = new TaskHistory();
  private final SoakHistory history = new SoakHistory(tasks, CANCEL_S);
  private final double start = System.nanoTime() / 1e9;

  private void submit() {
    history.recordSubmitted(JOB, 1);
    answer(201, "queued", 1, 2);
  }

  private void answer(int status, String state, double sentAt, double receivedAt) {
    history.recordResponse(JOB, status, state, start + sentAt, start + receivedAt);
  }

  private void runTask() {
    tasks.recordStart(start + 2, TASK, "n-1", "east");
    tasks.recordRemoval(TASK, "n-1", true);
  }

  private List<String> finish(double now) {
    return history.finish(start, start + now, MAX_TASKS);
  }

  private void assertOnly(String kind, double now) {
    List<String> found = finish(now);
    assertEquals(1, found.size(), found::toString);
    assertTrue(found.get(0).startsWith(kind), found::toString);
  }

  @Test
  void completedJobHasNoViolation() {
    submit();
    answer(503, "", 2, 3);
    runTask();
    answer(200, "done", 4, 5);
    answer(200, "running", 4, 6);
    answer(200, "done", 6, 7);
    assertEquals(List.of(), finish(60));
    assertTrue(history.allEnded());
  }

  @Test
  void olderAnswerAfterDoneIsReported() {
    submit();
    runTask();
    answer(200, "done", 4, 5);
    answer(200, "running", 6, 7);
    assertOnly("went_back", 60);
  }

  @Test
  void cancellationThatNobodyRequestedIsReported() {
    submit();
    answer(200, "cancelled", 4, 5);
    assertOnly("went_back", 60);
  }

  /** A start command that arrived twice would run the task again. */
  @Test
  void startAfterJobWasDoneIsReported() {
    submit();
    runTask();
    answer(200, "done", 4, 5);
    tasks.recordStart(start + 6, TASK, "n-1", "east");
    tasks.recordRemoval(TASK, "n-1", true);
    assertOnly("ran_after_end", 60);
  }

  @Test
  void doneBeforeAllTasksAreIsReported() {
    submit();
    answer(200, "done", 4, 5);
    assertOnly("not_done", 60);
  }

  @Test
  void unknownAnswerForAcceptedJobIsReported() {
    submit();
    runTask();
    answer(404, "", 3, 4);
    answer(200, "done", 4, 5);
    assertOnly("forgotten", 60);
  }

  @Test
  void answerForJobThatWasNeverSubmittedIsReported() {
    answer(200, "queued", 1, 2);
    assertOnly("invented", 60);
  }

  @Test
  void unansweredJobIsReported() {
    submit();
    runTask();
    answer(200, "done", 4, 5);
    assertEquals(List.of(), finish(5 + SoakHistory.FORGOTTEN_S));
    assertOnly("forgotten", 6 + SoakHistory.FORGOTTEN_S);
  }

  @Test
  void jobThatNeverEndsIsReported() {
    submit();
    assertOnly("never ended", 60);
  }

  @Test
  void cancelledTaskThatStaysIsReported() {
    submit();
    history.recordCancelRequested(JOB);
    tasks.recordStart(start + 2, TASK, "n-1", "east");
    answer(200, "cancelled", 4, 5);
    assertEquals(List.of(), finish(5 + CANCEL_S));
    assertOnly("ran_cancelled", 6 + CANCEL_S);
  }

  @Test
  void secondCopyOfTaskIsReported() {
    submit();
    tasks.recordStart(start + 2, TASK, "n-1", "east");
    tasks.recordRemoval(TASK, "n-1", true);
    tasks.recordStart(start + 3, TASK, "n-2", "east");
    answer(200, "done", 4, 5);
    assertEquals(List.of(), finish(60));
    tasks.recordStart(start + 6, TASK, "n-3", "east");
    assertTrue(finish(60).toString().contains("while it is on"), finish(60)::toString);
  }

  @Test
  void exceededLimitIsReported() {
    submit();
    runTask();
    answer(200, "done", 4, 5);
    tasks.recordStart(start + 5, new TaskId(new JobId("wk-000002"), 0), "n-1", "east");
    tasks.recordStart(start + 6, new TaskId(new JobId("wk-000002"), 1), "n-1", "east");
    assertOnly("quota", 60);
  }
}
