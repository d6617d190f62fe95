package org.ternhinge.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.ternhinge.wire.EndReason;

/** Tests the evidence that closes an attempt and its log texts. */
class ClosingEvidenceTest {
  @ParameterizedTest
  @EnumSource(EndReason.class)
  void reportedEndIsLoggedAsInMessage(EndReason reason) {
    ClosingEvidence evidence = ClosingEvidence.reported(reason);
    assertEquals(reason.wireName(), evidence.text());
    assertEquals("REPORTED_" + reason.name(), evidence.name());
  }

  @ParameterizedTest
  @EnumSource(ClosingEvidence.class)
  void onlyReportedDoneCompletesTask(ClosingEvidence evidence) {
    assertEquals(evidence == ClosingEvidence.REPORTED_DONE, evidence.isTaskDone());
  }

  @ParameterizedTest
  @CsvSource({
    "MACHINE_FAILED, machine failed",
    "MACHINE_NOT_LISTED, machine not listed",
    "MACHINE_REMOVED, machine removed",
    "LEASE_EXPIRED, lease expired",
    "EPOCH_ENDED, agent epoch ended",
    "ABSENT_AFTER_FAILOVER, not reported after failover",
    "NO_LONGER_REPORTED, no longer reported",
    "STOPPED_BEFORE_START, stopped before start",
    "NEVER_SENT, start never sent"
  })
  void otherEvidenceHasLogText(ClosingEvidence evidence, String text) {
    assertEquals(text, evidence.text());
  }
}
