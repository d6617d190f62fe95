package org.ternhinge.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.machine.Machine;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.Command;

/** Tests starting, stopping and closing of attempts. */
class AttemptLifecycleTest {
  private final LeadershipFixture fixture = new LeadershipFixture();
  private final Machine machine = fixture.addMachine("n-1");
  private final Job job = fixture.addJob(SubmissionJson.smallJob("wk-1", "batch", 2));

  /** If a start was sent before the write, the next leader might not know of the running task. */
  @Test
  void startIsSentOnlyAfterAttemptIsDurable() {
    fixture.store.pauseWrites();
    Attempt attempt = fixture.openAttempt(job, 0, machine);
    fixture.clock.runFor(1);
    assertEquals(0, fixture.sentCommands.size());
    fixture.store.resume();
    fixture.clock.runFor(1);
    assertEquals(1, fixture.sentCommands.size());
    assertEquals(Command.Op.START, fixture.sentCommands.get(0).op());
    assertEquals(attempt.number(), fixture.sentCommands.get(0).attempt());
  }

  /** An attempt that was stopped while its record was being written must not be started. */
  @Test
  void attemptStoppedDuringWriteIsClosedWithoutStart() {
    fixture.store.pauseWrites();
    Attempt attempt = fixture.openAttempt(job, 0, machine);
    attempt.requestStop(5, fixture.now());
    fixture.store.resume();
    fixture.clock.runFor(1);
    assertEquals(0, fixture.sentCommands.size());
    assertNull(job.openAttempt(0));
  }

  /** A later stop may only shorten the grace period of an earlier one. */
  @ParameterizedTest(name = "{0} s, then {1} s")
  @CsvSource({"5, 9, 5", "5, 5, 5", "5, 2, 2", "5, 0, 0"})
  void repeatedStopKeepsShortestGrace(double first, double second, double expected) {
    Attempt attempt = fixture.openAttempt(job, 0, machine);
    fixture.attempts.stop(attempt, first);
    fixture.attempts.stop(attempt, second);
    assertEquals(expected, attempt.stopGraceS());
  }

  /** The task might be started elsewhere while the first start is still executed. */
  @ParameterizedTest(name = "{0}, start outstanding: {1}")
  @CsvSource({
    "STOPPED_BEFORE_START, true,  1",
    "STOPPED_BEFORE_START, false, 0",
    "NEVER_SENT,           true,  1",
    "REPORTED_STOPPED,     true,  0"
  })
  void closingAttemptThatMayStillStartIsReportedAsViolation(
      ClosingEvidence evidence, boolean startOutstanding, long violations) {
    Attempt attempt = fixture.openAttempt(job, 0, machine);
    if (!startOutstanding) {
      machine.outstandingStarts().clear();
    }
    fixture.attempts.close(attempt, evidence);
    assertEquals(violations, fixture.context.services().metrics().invariants().count());
  }

  /** Closing an attempt twice must not close the next attempt of the same task. */
  @Test
  void closingTwiceKeepsNextAttemptOpen() {
    Attempt first = fixture.openAttempt(job, 0, machine);
    fixture.attempts.close(first, ClosingEvidence.NO_LONGER_REPORTED);
    Attempt second = fixture.openAttempt(job, 0, machine);
    assertEquals(1, fixture.roundsRequested);
    fixture.attempts.close(first, ClosingEvidence.NO_LONGER_REPORTED);
    assertEquals(second, job.openAttempt(0));
    assertEquals(1, fixture.roundsRequested);
  }

  /** A machine is idle from the time when its last attempt was closed. */
  @Test
  void machineIsIdleSinceItsLastAttemptClosed() {
    Attempt first = fixture.openAttempt(job, 0, machine);
    Attempt second = fixture.openAttempt(job, 1, machine);
    fixture.clock.runFor(3);
    fixture.attempts.close(first, ClosingEvidence.REPORTED_DONE);
    assertEquals(3, fixture.now().secondsSince(machine.idleSince()), 1e-6);
    fixture.attempts.close(second, ClosingEvidence.REPORTED_DONE);
    assertEquals(fixture.now(), machine.idleSince());
  }
}
