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

/** Opening, stopping and closing of attempts. */
class AttemptLifecycleTest {
  private final LeadershipFixture fixture = new LeadershipFixture();
  private final Machine machine = fixture.machine("n-1");
  private final Job job = fixture.job(SubmissionJson.smallJob("wk-1", "batch", 2));

  /** A start that went out before its record could run without any leader knowing of it. */
  @Test
  void aStartGoesOutOnceTheStoreHoldsTheAttempt() {
    fixture.store.pauseWrites();
    Attempt attempt = fixture.open(job, 0, machine);
    fixture.clock.runFor(1);
    assertEquals(0, fixture.sent.size());
    fixture.store.resume();
    fixture.clock.runFor(1);
    assertEquals(1, fixture.sent.size());
    assertEquals(Command.Op.START, fixture.sent.get(0).op());
    assertEquals(attempt.number(), fixture.sent.get(0).attempt());
  }

  /** An attempt that was stopped while its record was being written is never started. */
  @Test
  void anAttemptUnwantedByThenIsClosedInstead() {
    fixture.store.pauseWrites();
    Attempt attempt = fixture.open(job, 0, machine);
    attempt.stop(5, fixture.now());
    fixture.store.resume();
    fixture.clock.runFor(1);
    assertEquals(0, fixture.sent.size());
    assertNull(job.open(0));
  }

  /** A later stop may only shorten the time that an earlier one left. */
  @ParameterizedTest(name = "{0} s, then {1} s")
  @CsvSource({"5, 9, 5", "5, 5, 5", "5, 2, 2", "5, 0, 0"})
  void theShortestGraceStands(double first, double second, double expected) {
    Attempt attempt = fixture.open(job, 0, machine);
    fixture.attempts.stop(attempt, first);
    fixture.attempts.stop(attempt, second);
    assertEquals(expected, attempt.stopGraceS());
  }

  /** Closing twice must not close the attempt that came after. */
  @Test
  void aClosedAttemptIsNotClosedAgain() {
    Attempt first = fixture.open(job, 0, machine);
    fixture.attempts.close(first, ClosingEvidence.VANISHED);
    Attempt second = fixture.open(job, 0, machine);
    assertEquals(1, fixture.roundsRequested);
    fixture.attempts.close(first, ClosingEvidence.VANISHED);
    assertEquals(second, job.open(0));
    assertEquals(1, fixture.roundsRequested);
  }

  /** A machine counts as idle from the end of its last attempt. */
  @Test
  void theLastAttemptsEndMakesAMachineIdle() {
    Attempt first = fixture.open(job, 0, machine);
    Attempt second = fixture.open(job, 1, machine);
    fixture.clock.runFor(3);
    fixture.attempts.close(first, ClosingEvidence.REPORTED_DONE);
    assertEquals(3, fixture.now().secondsSince(machine.idleSince()), 1e-6);
    fixture.attempts.close(second, ClosingEvidence.REPORTED_DONE);
    assertEquals(fixture.now(), machine.idleSince());
  }
}
