package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Revision;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.WireException;

/** The back-off level of a failing job, which the next leader reads from the job's record. */
class BackoffLevelRecordTest {
  private static final int VALUE_BYTES = 8 * 1024;

  /** Level 0 is not stored, so the record is the same as that of the version in production. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 6, 1000})
  void backoffLevelIsReadBack(int level) throws WireException {
    ObjectNode record =
        RecordCodec.encodeNew(
            SubmissionJson.parse(SubmissionJson.smallJob("wk-1", "batch", 3)), 1, VALUE_BYTES);
    assertFalse(record.has("e"));
    Job job = RecordCodec.decodeFirst(record, Revision.NONE, new MonotonicTime(0));
    job.setBackoffLevel(level);
    ObjectNode written = RecordCodec.encode(job, 0);
    assertEquals(level > 0, written.has("e"));
    Job read = RecordCodec.decodeFirst(written, Revision.NONE, new MonotonicTime(0));
    assertEquals(level, read.backoffLevel());
    written.remove("e");
    assertEquals(record, written, "record rewritten by a version without the field");
  }
}
