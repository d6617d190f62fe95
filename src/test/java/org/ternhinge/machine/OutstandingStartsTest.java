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

/** Direct start commands that may still arrive at a worker. */
class OutstandingStartsTest {
  private static final TaskId TASK = new TaskId(new JobId("wk-1"), 0);
  private static final AttemptNumber FIRST = new AttemptNumber(1);
  private static final AttemptNumber SECOND = new AttemptNumber(2);

  private final OutstandingStarts starts = new OutstandingStarts();

  @Test
  void startMayArriveUntilSettled() {
    assertFalse(starts.mayArrive(TASK, FIRST));
    starts.recordSent(TASK, FIRST);
    assertTrue(starts.mayArrive(TASK, FIRST));
    assertFalse(starts.mayArrive(TASK, SECOND));
    starts.settle(TASK, FIRST);
    assertFalse(starts.mayArrive(TASK, FIRST));
  }

  @Test
  void startSentTwiceIsSettledTwice() {
    starts.recordSent(TASK, FIRST);
    starts.recordSent(TASK, FIRST);
    starts.settle(TASK, FIRST);
    assertTrue(starts.mayArrive(TASK, FIRST));
    starts.settle(TASK, FIRST);
    assertFalse(starts.mayArrive(TASK, FIRST));
  }

  @Test
  void endOfEpochDiscardsAllStarts() {
    starts.recordSent(TASK, FIRST);
    starts.fence(new Term(5));
    starts.clear();
    assertFalse(starts.mayArrive(TASK, FIRST));
    assertFalse(starts.isFenced(TASK, FIRST));
  }

  /** Fencing of earlier starts by a raised term. */
  @Nested
  class Fence {
    @ParameterizedTest(name = "token {0} against fence 5")
    @CsvSource({"4, true", "5, false", "6, false"})
    void settlesEarlierStartsOnceWorkerHasSeenIt(long token, boolean mayArrive) {
      starts.recordSent(TASK, FIRST);
      starts.fence(new Term(5));
      assertTrue(starts.isFenced(TASK, FIRST));
      starts.observeFencingToken(new Term(token));
      assertEquals(mayArrive, starts.mayArrive(TASK, FIRST));
      assertEquals(mayArrive, starts.isFenced(TASK, FIRST));
    }

    @Test
    void doesNotAffectLaterStarts() {
      starts.fence(new Term(5));
      starts.recordSent(TASK, SECOND);
      starts.observeFencingToken(new Term(5));
      assertFalse(starts.isFenced(TASK, SECOND));
      assertTrue(starts.mayArrive(TASK, SECOND));
    }

    /** An attempt may be sent again after the fence; only the earlier copies are fenced. */
    @Test
    void settlesOnlyCopiesSentBefore() {
      starts.recordSent(TASK, FIRST);
      starts.fence(new Term(5));
      starts.recordSent(TASK, FIRST);
      starts.observeFencingToken(new Term(5));
      assertTrue(starts.mayArrive(TASK, FIRST));
      starts.settle(TASK, FIRST);
      assertFalse(starts.mayArrive(TASK, FIRST));
    }
  }
}
