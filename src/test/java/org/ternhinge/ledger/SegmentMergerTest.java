package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SubmissionJson;

/** Finished segments are merged into the first one as far as its list of ranges has space. */
class SegmentMergerTest {
  private static final int SEGMENT_SIZE = 2;

  /** Limit on value sizes; allows one range of merged segments per 100 bytes. */
  private static final int VALUE_BYTES = 200;

  private final SegmentMerger merger = new SegmentMerger(VALUE_BYTES);

  private static Job job(int segments) {
    return new Job(
        SubmissionJson.parse(SubmissionJson.smallJob("wk-1", "batch", segments * SEGMENT_SIZE)),
        1,
        SEGMENT_SIZE);
  }

  private static void finish(Job job, int segment) {
    job.doneTasks().set(segment * SEGMENT_SIZE, (segment + 1) * SEGMENT_SIZE);
  }

  private static Job finished(int segments, String... over) {
    Job job = job(segments);
    for (String segment : over) {
      finish(job, Integer.parseInt(segment));
    }
    return job;
  }

  private static void open(Job job, int index) {
    MonotonicTime now = new SimClock().now();
    MachineAttributes site = TestMachines.on("n-1", 1);
    AttemptNumber number = new AttemptNumber(1);
    job.openAttemptsByTask()
        .put(
            index,
            new Attempt(job, index, number, site.id(), site.epoch(), site.zone(), true, now));
  }

  /** At most two ranges fit; a segment that extends one of them always does. */
  @ParameterizedTest(name = "finished {0}: merged {1}")
  @CsvSource({
    "0, {}",
    "1, {1}",
    "0 1 2, '{1, 2}'",
    "1 3, '{1, 3}'",
    "1 3 5, '{1, 3}'",
    "1 3 4 6, '{1, 3, 4}'"
  })
  void finishedSegmentsAreMergedWithinLimit(String over, String merged) {
    Job job = finished(8, over.split(" ", -1));
    assertEquals(!merged.equals("{}"), merger.merge(job));
    assertEquals(merged, job.record().merged().toString());
    BitSet written = (BitSet) job.record().merged().clone();
    written.set(0, !written.isEmpty());
    assertEquals(written, job.record().dirty());
  }

  @Test
  void segmentIsMergedOnce() {
    Job job = finished(3, "1");
    assertTrue(merger.merge(job));
    assertFalse(merger.merge(job));
  }

  @Test
  void segmentWithOpenAttemptIsNotMerged() {
    Job job = finished(3, "1", "2");
    open(job, SEGMENT_SIZE);
    merger.merge(job);
    assertEquals("{2}", job.record().merged().toString());
  }

  @Test
  void cancelledJobKeepsOnlySegmentsWithOpenAttempts() {
    Job job = job(4);
    open(job, SEGMENT_SIZE);
    job.cancel();
    merger.merge(job);
    assertEquals("{2, 3}", job.record().merged().toString());
  }
}
