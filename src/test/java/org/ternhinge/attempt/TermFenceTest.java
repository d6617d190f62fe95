package org.ternhinge.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.AttemptState;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.Term;
import org.ternhinge.sim.SubmissionJson;

/** Tests when a leader raises its own term to fence outstanding starts. */
class TermFenceTest {
  private final LeadershipFixture fixture = new LeadershipFixture();
  private final TermFence fence =
      new TermFence(fixture.authority, fixture.writer, fixture.machines);
  private final Machine machine = fixture.addMachine("n-1");
  private final Attempt attempt =
      fixture.openAttempt(fixture.addJob(SubmissionJson.smallJob("wk-1", "batch", 1)), 0, machine);

  /** Only a stopped attempt that stays open because of an outstanding start requires a raise. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "all conditions,           true,  STARTING,  5,   1, 0, true",
    "not stopping,             false, STARTING,  5,   1, 0, false",
    "stopped just now,        true,  STARTING,  3.9, 1, 0, false",
    "reported by the worker,   true,  RUNNING,   5,   1, 0, false",
    "no outstanding start,     true,  STARTING,  5,   0, 0, false",
    "fenced already,          true,  STARTING,  5,   1, 1, false"
  })
  void raiseIsNeededOnlyForUnfencedOutstandingStart(
      String name,
      boolean stopping,
      AttemptState reportedState,
      double stoppedForS,
      int outstanding,
      int fenced,
      boolean needed) {
    if (stopping) {
      attempt.requestStop(0, fixture.now());
    }
    if (reportedState.isReported()) {
      attempt.observe(reportedState, fixture.now());
    }
    // The fixture has already sent a start; replace it by the number of starts of the test case.
    machine.outstandingStarts().clear();
    for (int i = 0; i < outstanding; i++) {
      machine.outstandingStarts().recordSent(attempt.task(), attempt.number());
    }
    if (fenced > 0) {
      machine.outstandingStarts().fence(new Term(2));
    }
    fixture.clock.runFor(stoppedForS);
    assertEquals(needed, fence.isNeeded(machine, attempt, fixture.now()));
    assertEquals(needed, fence.isNeededForAny(machine, List.of(attempt), fixture.now()));
    assertFalse(fence.isNeededForAny(machine, List.of(), fixture.now()));
  }

  /** Each raise makes the fencing tokens of all workers outdated, so raises are rate-limited. */
  @ParameterizedTest(name = "second raise after {0} s: term {1}")
  @CsvSource({"0, 2", "9.9, 2", "10.1, 3"})
  void raisesAreRateLimited(double againAfterS, long term) {
    fence.raise(fixture.now());
    fixture.clock.runFor(againAfterS);
    fence.raise(fixture.now());
    fixture.clock.runFor(0.1);
    assertEquals(new Term(term), fixture.authority.term());
  }

  @Test
  void raiseInProgressSuppressesSecondRaise() {
    fixture.store.pauseWrites();
    fence.raise(fixture.now());
    fixture.clock.runFor(20);
    fence.raise(fixture.now());
    fixture.store.resume();
    fixture.clock.runFor(1);
    assertEquals(new Term(2), fixture.authority.term());
  }

  /** An outstanding start is fenced only once the worker reports the raised term. */
  @ParameterizedTest(name = "worker reports term {0}")
  @CsvSource({"1, true", "2, false"})
  void startIsFencedOnceWorkerReportsTerm(long reportedTerm, boolean outstanding) {
    machine.outstandingStarts().recordSent(attempt.task(), attempt.number());
    fence.raise(fixture.now());
    fixture.clock.runFor(0.1);
    machine.outstandingStarts().observeFencingToken(new Term(reportedTerm));
    assertEquals(
        outstanding, machine.outstandingStarts().mayArrive(attempt.task(), attempt.number()));
  }
}
