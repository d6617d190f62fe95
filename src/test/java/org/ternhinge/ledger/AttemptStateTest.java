package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SubmissionJson;

/** Lifecycle of an attempt: all pairs of states, and the properties derived from the state. */
class AttemptStateTest {
  private final SimClock clock = new SimClock();

  private Attempt attempt(boolean recovered) {
    Job job = new Job(SubmissionJson.parse(SubmissionJson.smallJob("wk-1", "batch", 1)), 1, 8);
    MachineAttributes site = TestMachines.on("n-1", 1);
    return new Attempt(
        job, 0, new AttemptNumber(1), site.id(), site.epoch(), site.zone(), recovered, clock.now());
  }

  /** Creates an attempt and brings it into a state by regular transitions. */
  private Attempt inState(AttemptState state) {
    Attempt attempt = attempt(false);
    if (state != AttemptState.PROPOSED) {
      attempt.markDurable();
    }
    if (state.isReported()) {
      attempt.observe(state, clock.now());
    }
    if (state == AttemptState.CLOSED) {
      attempt.close();
    }
    assertEquals(state, attempt.state());
    return attempt;
  }

  /** The table of permitted transitions. */
  @Nested
  class TransitionTable {
    /** One row for each state; {@code x} is a permitted transition, in the order of the enum. */
    @ParameterizedTest(name = "from {0}: {1}")
    @CsvSource({
      "PROPOSED,      . x . . . . x",
      "STARTING,      . . x x x x x",
      "FETCHING,      . . x x x x x",
      "WAITING,       . . x x x x x",
      "RUNNING,       . . x x x x x",
      "CHECKPOINTING, . . x x x x x",
      "CLOSED,        . . . . . . ."
    })
    void permitsExactlyListedTransitions(AttemptState from, String row) {
      List<String> marks = List.of(row.split(" ", -1));
      AttemptState[] all = AttemptState.values();
      assertEquals(all.length, marks.size());
      for (int i = 0; i < all.length; i++) {
        assertEquals(marks.get(i).equals("x"), from.permits(all[i]), from + " to " + all[i]);
      }
    }

    /** PROPOSED is the initial state and cannot be requested. */
    @ParameterizedTest(name = "from {0}")
    @EnumSource
    void attemptFollowsTable(AttemptState from) {
      for (AttemptState to : AttemptState.values()) {
        if (to == AttemptState.PROPOSED) {
          assertFalse(from.permits(to));
        } else if (from == AttemptState.PROPOSED && to.isReported()) {
          Attempt attempt = inState(from);
          enter(attempt, to);
          assertEquals(from, attempt.state(), "ignored");
        } else if (from.permits(to)) {
          Attempt attempt = inState(from);
          enter(attempt, to);
          assertEquals(to, attempt.state());
        } else {
          assertIllegalTransition(from, to);
        }
      }
    }

    private void assertIllegalTransition(AttemptState from, AttemptState to) {
      Attempt attempt = inState(from);
      IllegalTransitionException exception =
          assertThrows(IllegalTransitionException.class, () -> enter(attempt, to));
      assertEquals(from, exception.from());
      assertEquals(to, exception.to());
      assertTrue(exception.getMessage().contains(from + " to " + to), exception.getMessage());
      assertEquals(from, attempt.state(), "kept");
    }

    private void enter(Attempt attempt, AttemptState to) {
      switch (to) {
        case STARTING -> attempt.markDurable();
        case CLOSED -> attempt.close();
        default -> attempt.observe(to, clock.now());
      }
    }
  }

  /** Properties derived from the state. */
  @Nested
  class DerivedProperties {
    @ParameterizedTest(name = "{0}: durable {1}, reported {2}")
    @CsvSource({
      "PROPOSED, false, false",
      "STARTING, true, false",
      "FETCHING, true, true",
      "WAITING, true, true",
      "RUNNING, true, true",
      "CHECKPOINTING, true, true",
      "CLOSED, true, false"
    })
    void propertiesFollowFromState(AttemptState state, boolean durable, boolean reported) {
      assertEquals(durable, inState(state).isDurable());
      assertEquals(reported, inState(state).isReported());
    }

    @Test
    void recoveredAttemptIsInitiallyDurable() {
      assertEquals(AttemptState.STARTING, attempt(true).state());
      assertTrue(attempt(true).isDurable());
    }

    @Test
    void observedStateMustBeReportable() {
      Attempt attempt = inState(AttemptState.RUNNING);
      assertThrows(
          IllegalTransitionException.class,
          () -> attempt.observe(AttemptState.STARTING, clock.now()));
      assertThrows(
          IllegalTransitionException.class,
          () -> attempt.observe(AttemptState.CLOSED, clock.now()));
      assertEquals(AttemptState.RUNNING, attempt.state());
    }

    @Test
    void runningSinceIsTimeOfFirstRunningStatus() {
      Attempt attempt = inState(AttemptState.FETCHING);
      MonotonicTime first = clock.now();
      attempt.observe(AttemptState.RUNNING, first);
      attempt.observe(AttemptState.RUNNING, first.plusSeconds(5));
      assertEquals(first, attempt.runningSince());
    }
  }

  /** Requests to stop. */
  @Nested
  class StopRequests {
    @Test
    void newAttemptHasNoStopRequest() {
      Attempt attempt = attempt(false);
      assertFalse(attempt.isStopRequested());
      assertEquals(Optional.empty(), attempt.stopRequest());
      assertEquals(0, attempt.stopGraceS());
    }

    @ParameterizedTest(name = "{0} s, then {1} s: the request for {2} s made at {3} s")
    @CsvSource({"5, 3, 3, 1", "5, 5, 5, 0", "3, 5, 3, 0", "0, 0, 0, 0"})
    void laterRequestCountsOnlyWithShorterGracePeriod(
        double firstS, double secondS, double expectedS, double expectedAtS) {
      Attempt attempt = attempt(false);
      MonotonicTime start = clock.now();
      attempt.requestStop(firstS, start);
      attempt.requestStop(secondS, start.plusSeconds(1));
      StopRequest expected = new StopRequest(expectedS, start.plusSeconds(expectedAtS));
      assertEquals(Optional.of(expected), attempt.stopRequest());
      assertEquals(expectedS, attempt.stopGraceS());
    }

    @ParameterizedTest(name = "in {0}")
    @EnumSource
    void stopRequestIsIndependentOfState(AttemptState state) {
      Attempt attempt = inState(state);
      attempt.requestStop(2, clock.now());
      assertTrue(attempt.isStopRequested());
      assertEquals(state, attempt.state());
    }
  }
}
