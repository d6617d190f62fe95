package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.sim.Specs;
import org.ternhinge.wire.Command;

/** Opening, stopping and closing of attempts. */
class AttemptLifecycleTest {
  private final LeadershipParts parts = new LeadershipParts();
  private final Machine machine = parts.machine("n-1");
  private final Job job = parts.job(Specs.json("wk-1", "batch", 2));

  /** A start that went out before its record could run without any leader knowing of it. */
  @Test
  void aStartGoesOutOnceTheStoreHoldsTheAttempt() {
    parts.store.hold();
    Attempt attempt = parts.open(job, 0, machine);
    parts.clock.runFor(1);
    assertEquals(0, parts.sent.size());
    parts.store.letGo();
    parts.clock.runFor(1);
    assertEquals(1, parts.sent.size());
    assertEquals(Command.Op.START, parts.sent.get(0).op());
    assertEquals(attempt.number(), parts.sent.get(0).attempt());
  }

  /** An attempt that was stopped while its record was being written is never started. */
  @Test
  void anAttemptUnwantedByThenIsClosedInstead() {
    parts.store.hold();
    Attempt attempt = parts.open(job, 0, machine);
    attempt.stop(5, parts.now());
    parts.store.letGo();
    parts.clock.runFor(1);
    assertEquals(0, parts.sent.size());
    assertNull(job.open(0));
  }

  /** A later stop may only shorten the time that an earlier one left. */
  @ParameterizedTest(name = "{0} s, then {1} s")
  @CsvSource({"5, 9, 5", "5, 5, 5", "5, 2, 2", "5, 0, 0"})
  void theShortestGraceStands(double first, double second, double expected) {
    Attempt attempt = parts.open(job, 0, machine);
    parts.attempts.stop(attempt, first);
    parts.attempts.stop(attempt, second);
    assertEquals(expected, attempt.stopGraceS());
  }

  /** Closing twice must not close the attempt that came after. */
  @Test
  void aClosedAttemptIsNotClosedAgain() {
    Attempt first = parts.open(job, 0, machine);
    parts.attempts.close(first, false, "vanished");
    Attempt second = parts.open(job, 0, machine);
    assertEquals(1, parts.roundsRequested);
    parts.attempts.close(first, false, "vanished");
    assertEquals(second, job.open(0));
    assertEquals(1, parts.roundsRequested);
  }

  /** A machine counts as idle from the end of its last attempt. */
  @Test
  void theLastAttemptsEndMakesAMachineIdle() {
    Attempt first = parts.open(job, 0, machine);
    Attempt second = parts.open(job, 1, machine);
    parts.clock.runFor(3);
    parts.attempts.close(first, true, "done");
    assertEquals(3, parts.now().secondsSince(machine.idleSince), 1e-6);
    parts.attempts.close(second, true, "done");
    assertEquals(parts.now(), machine.idleSince);
  }
}
