package org.ternhinge.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.AttemptState;
import org.ternhinge.machine.Machine;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.Term;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.Command;

/** Tests when a worker's fencing token is raised, and when the worker may forget an attempt. */
class StartFenceTest {
  private static final Term TERM = new Term(1);
  private static final Term RAISED = new Term(2);

  private final LeadershipFixture fixture = new LeadershipFixture();
  private final Metrics metrics = new Metrics();
  private final StartFence fence = new StartFence(fixture.tokens, metrics);
  private final Machine machine = fixture.addMachine("n-1");
  private final Machine other = fixture.addMachine("n-2");
  private final Attempt attempt =
      fixture.openAttempt(fixture.addJob(SubmissionJson.smallJob("wk-1", "batch", 1)), 0, machine);

  @BeforeEach
  void reserveTokensAndAnswerStart() {
    fixture.tokens.reserve();
    fixture.clock.runFor(0.1);
    fixture.workers.lastMessage().execute(fixture.heartbeat(machine).build());
  }

  private boolean mayForget() {
    return fence.allowsForget(machine, attempt.task(), attempt.number());
  }

  /** Attempts that were stopped before the worker reported them. */
  @Nested
  class StoppedAttempts {
    /** Only a stopped attempt that stays open because of an outstanding start requires a raise. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
      "all conditions,           true,  STARTING,  5,   1, 0, true",
      "not stopping,             false, STARTING,  5,   1, 0, false",
      "stopped just now,         true,  STARTING,  3.9, 1, 0, false",
      "reported by the worker,   true,  RUNNING,   5,   1, 0, false",
      "no outstanding start,     true,  STARTING,  5,   0, 0, false",
      "fenced already,           true,  STARTING,  5,   1, 1, false"
    })
    void raiseIsNeededOnlyForUnfencedOutstandingStart(
        String name,
        boolean stopping,
        AttemptState reportedState,
        double stoppedForS,
        int outstanding,
        int raised,
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
        machine.outstandingStarts().recordSent(attempt.task(), attempt.number(), TERM);
      }
      if (raised > 0) {
        assertTrue(fixture.tokens.raise(machine));
      }
      fixture.clock.runFor(stoppedForS);
      assertEquals(needed, fence.isNeeded(machine, attempt, fixture.now()));
      Term before = fixture.tokens.tokenOf(machine);
      fence.fenceStopped(machine, List.of(), fixture.now());
      assertEquals(before, fixture.tokens.tokenOf(machine));
      fence.fenceStopped(machine, List.of(attempt), fixture.now());
      assertEquals(needed ? before.next() : before, fixture.tokens.tokenOf(machine));
      assertEquals(TERM, fixture.tokens.tokenOf(other), "token of another worker");
    }

    /** An outstanding start is settled only once the worker reports the raised token. */
    @ParameterizedTest(name = "worker reports token {0}")
    @CsvSource({"1, true", "2, false"})
    void startIsSettledOnceWorkerReportsToken(long reported, boolean outstanding) {
      attempt.requestStop(0, fixture.now());
      fixture.clock.runFor(5);
      fence.fenceStopped(machine, List.of(attempt), fixture.now());
      machine.outstandingStarts().observeFencingToken(new Term(reported));
      assertEquals(
          outstanding, machine.outstandingStarts().mayBeExecuted(attempt.task(), attempt.number()));
    }
  }

  /** Attempts that have ended and that the worker still reports. */
  @Nested
  class EndedAttempts {
    /** The response to a start does not prove that the start is not delivered once more. */
    @Test
    void attemptIsForgottenOnlyUnderHigherTokenThanItsDirectStart() {
      assertTrue(mayForget());
      assertEquals(RAISED, fixture.tokens.tokenOf(machine));
      assertEquals(TERM, fixture.tokens.tokenOf(other), "token of another worker");
    }

    @Test
    void oneRaiseServesAllAttemptsOfWorker() {
      assertTrue(mayForget());
      assertTrue(mayForget());
      assertEquals(RAISED, fixture.tokens.tokenOf(machine));
    }

    @Test
    void attemptWithoutDirectStartNeedsNoRaise() {
      machine.outstandingStarts().clear();
      assertTrue(mayForget());
      assertEquals(TERM, fixture.tokens.tokenOf(machine));
    }

    /** The worker would refuse the message, which has the lower token. */
    @Test
    void tokenIsNotRaisedWhileMessageIsInFlight() {
      fixture.dispatcher.probe(machine, fixture.now());
      assertFalse(mayForget());
      assertEquals(TERM, fixture.tokens.tokenOf(machine));
      fixture.workers.lastMessage().execute(fixture.heartbeat(machine).build());
      assertTrue(mayForget());
    }

    @ParameterizedTest(name = "token raised: {0}")
    @CsvSource({"true, 0", "false, 1"})
    void forgettingUnfencedAttemptIsReportedAsViolation(boolean raised, long violations) {
      if (raised) {
        fixture.tokens.raise(machine);
      }
      Command forget = new Command(Command.Op.FORGET, attempt.task(), attempt.number(), 0);
      fence.verify(machine, List.of(forget));
      assertEquals(violations, metrics.invariants().count());
    }
  }
}
