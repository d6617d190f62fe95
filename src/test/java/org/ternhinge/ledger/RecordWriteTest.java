package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.sim.SubmissionJson;

/** The urgency of writes. */
class RecordWriteTest {
  private static final SteadyTime NOW = new SteadyTime(0);

  /** Starts are sent in the order of the opens; a stream of the same collection has another. */
  @Test
  void opensKeepTheOrderOfTheJobsOpenAttempts() {
    Job job = new Job(SubmissionJson.parse(SubmissionJson.smallJob("wk-1", "batch", 40)), 1, 40);
    MachineAttributes machine = TestMachines.on("n-1", 1);
    for (int i = 0; i < 40; i++) {
      Attempt attempt =
          new Attempt(
              job, i, new AttemptNumber(1), machine.machine(), machine.epoch(), 0, false, NOW);
      job.openMap().put(i, attempt);
    }
    List<Attempt> expected = new ArrayList<>();
    for (Attempt attempt : job.openAttempts()) {
      expected.add(attempt);
    }
    assertEquals(expected, RecordWrite.Segment.of(job, 0).opens());
  }
}
