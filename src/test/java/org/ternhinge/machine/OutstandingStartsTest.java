package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.JobId;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;

/** Direct start commands that a worker may still execute. */
class OutstandingStartsTest {
  private static final TaskId TASK = new TaskId(new JobId("wk-1"), 0);
  private static final AttemptNumber FIRST = new AttemptNumber(1);
  private static final AttemptNumber SECOND = new AttemptNumber(2);

  private static final Term FOUR = new Term(4);
  private static final Term FIVE = new Term(5);

  private final OutstandingStarts starts = new OutstandingStarts();

  @Test
  void startMayArriveUntilSettled() {
    assertFalse(starts.mayBeExecuted(TASK, FIRST));
    starts.recordSent(TASK, FIRST, FOUR);
    assertTrue(starts.mayBeExecuted(TASK, FIRST));
    assertFalse(starts.mayBeExecuted(TASK, SECOND));
    starts.settle(TASK, FIRST);
    assertFalse(starts.mayBeExecuted(TASK, FIRST));
  }

  @Test
  void startSentTwiceIsSettledTwice() {
    starts.recordSent(TASK, FIRST, FOUR);
    starts.recordSent(TASK, FIRST, FOUR);
    starts.settle(TASK, FIRST);
    assertTrue(starts.mayBeExecuted(TASK, FIRST));
    starts.settle(TASK, FIRST);
    assertFalse(starts.mayBeExecuted(TASK, FIRST));
  }

  @Test
  void endOfEpochDiscardsAllStarts() {
    starts.recordSent(TASK, FIRST, FOUR);
    starts.clear();
    assertFalse(starts.mayBeExecuted(TASK, FIRST));
    assertTrue(starts.isFencedBy(FOUR, TASK, FIRST));
  }

  /** Fencing of starts by a higher token than they carry. */
  @Nested
  class Fence {
    @ParameterizedTest(name = "token {0} against a start with token 4")
    @CsvSource({"3, true", "4, true", "5, false", "6, false"})
    void settlesStartsOnceWorkerHasSeenHigherToken(long token, boolean mayBeExecuted) {
      starts.recordSent(TASK, FIRST, FOUR);
      assertEquals(mayBeExecuted, !starts.isFencedBy(new Term(token), TASK, FIRST));
      starts.observeFencingToken(new Term(token));
      assertEquals(mayBeExecuted, starts.mayBeExecuted(TASK, FIRST));
    }

    @Test
    void doesNotAffectLaterStarts() {
      starts.observeFencingToken(FIVE);
      starts.recordSent(TASK, SECOND, FIVE);
      starts.observeFencingToken(FIVE);
      assertFalse(starts.isFencedBy(FIVE, TASK, SECOND));
      assertTrue(starts.mayBeExecuted(TASK, SECOND));
    }

    /** An attempt may be sent again with a higher token, which only fences the earlier message. */
    @Test
    void highestTokenOfSeveralMessagesCounts() {
      starts.recordSent(TASK, FIRST, FOUR);
      starts.recordSent(TASK, FIRST, FIVE);
      starts.observeFencingToken(FIVE);
      assertFalse(starts.isFencedBy(FIVE, TASK, FIRST));
      assertTrue(starts.mayBeExecuted(TASK, FIRST));
      starts.observeFencingToken(FIVE.next());
      assertFalse(starts.mayBeExecuted(TASK, FIRST));
    }
  }
}
