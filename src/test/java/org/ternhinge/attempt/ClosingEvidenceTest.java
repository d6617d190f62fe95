package org.ternhinge.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.ternhinge.wire.EndReason;

/** The evidence that closes an attempt, and its words in the log. */
class ClosingEvidenceTest {
  @ParameterizedTest
  @EnumSource(EndReason.class)
  void aReportedEndIsLoggedInTheWordOfTheMessage(EndReason reason) {
    ClosingEvidence evidence = ClosingEvidence.reported(reason);
    assertEquals(reason.wireName(), evidence.text());
    assertEquals("REPORTED_" + reason.name(), evidence.name());
  }

  @ParameterizedTest
  @EnumSource(ClosingEvidence.class)
  void onlyAReportOfTheWorkersCompletesATask(ClosingEvidence evidence) {
    assertEquals(evidence == ClosingEvidence.REPORTED_DONE, evidence.isTaskDone());
  }

  @ParameterizedTest
  @CsvSource({
    "MACHINE_FAILED, machine failed",
    "MACHINE_NOT_LISTED, machine taken",
    "MACHINE_GONE, machine gone",
    "LEASE_EXPIRED, lease over",
    "EPOCH_ENDED, agent epoch over",
    "ABSENT_AFTER_FAILOVER, never arrived or is gone",
    "VANISHED, vanished",
    "STOPPED_BEFORE_START, stopped before it started",
    "NEVER_SENT, never sent"
  })
  void otherEvidenceIsLoggedInWords(ClosingEvidence evidence, String text) {
    assertEquals(text, evidence.text());
  }
}
