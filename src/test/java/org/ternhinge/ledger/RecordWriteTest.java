package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.sim.SubmissionJson;

/** Order of the attempts in a record write. */
class RecordWriteTest {
  private static final MonotonicTime NOW = new MonotonicTime(0);

  /**
   * Starts are sent in the order of {@code openedAttempts}; a stream over the open attempts would
   * have a different order.
   */
  @Test
  void openedAttemptsKeepOrderOfOpenAttempts() {
    Job job = new Job(SubmissionJson.parse(SubmissionJson.smallJob("wk-1", "batch", 40)), 1, 40);
    MachineAttributes machine = TestMachines.on("n-1", 1);
    for (int i = 0; i < 40; i++) {
      Attempt attempt =
          new Attempt(job, i, new AttemptNumber(1), machine.id(), machine.epoch(), 0, false, NOW);
      job.openAttemptsByTask().put(i, attempt);
    }
    List<Attempt> expected = new ArrayList<>();
    for (Attempt attempt : job.openAttempts()) {
      expected.add(attempt);
    }
    assertEquals(expected, RecordWrite.Segment.of(job, 0).openedAttempts());
  }
}
