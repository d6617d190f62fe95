package org.ternhinge.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Tuning;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.sim.SimClock;
import org.ternhinge.store.ResponseTimeouts.Kind;

/** Time-outs of calls to the key-value store, depending on its responses so far. */
class ResponseTimeoutsTest {
  private static final double QUICK_S = 0.01;

  private final SimClock clock = new SimClock();
  private final ResponseTimeouts timeouts = ResponseTimeouts.of(clock, Tuning.DEFAULT);

  /** Records a call with the given response time; returns false if that exceeds its time-out. */
  private boolean call(double responseS) {
    double limitS = timeouts.timeoutS(Kind.READ);
    if (responseS < limitS) {
      timeouts.answered(responseS);
      return true;
    }
    timeouts.timedOut(limitS);
    return false;
  }

  private void calls(int count, double responseS) {
    for (int i = 0; i < count; i++) {
      call(responseS);
    }
  }

  /** The maximum: a lease of 6 s less drift and margin, less the interval of overdue renewals. */
  @Test
  void theCapIsWhatTheLeaseLeaves() {
    assertEquals(6 * 0.999 - 0.3 - 1.4, timeouts.capS(), 1e-9);
    for (int i = 0; i < 100; i++) {
      timeouts.timedOut(timeouts.timeoutS(Kind.WRITE));
    }
    for (Kind kind : Kind.values()) {
      assertEquals(timeouts.capS(), timeouts.timeoutS(kind), 1e-9);
    }
  }

  @ParameterizedTest(name = "{0}: {1} s initially and with a fast store")
  @CsvSource({"READ, 1.5", "WRITE, 1.5", "LEASE, 1.0"})
  void aQuickServiceIsNotWaitedForLonger(Kind kind, double floorS) {
    assertEquals(floorS, timeouts.timeoutS(kind), 1e-9);
    calls(50, QUICK_S);
    assertEquals(floorS, timeouts.timeoutS(kind), 1e-9);
  }

  /**
   * When the store becomes slow, at most two consecutive calls time out before the time-outs adapt. With jitter, at most ten of 200 calls time out in total.
   */
  @ParameterizedTest(name = "one-way delay {0} s, jitter fraction {1}")
  @CsvSource({
    "0.3, 0", "0.8, 0", "1.0, 0", "1.3, 0", "1.8, 0", "2.0, 0",
    "0.3, 0.8", "0.8, 0.8", "1.0, 0.8", "1.3, 0.8", "1.8, 0.8", "2.0, 0.8"
  })
  void aSlowServiceIsWaitedFor(double eachWayS, double jitter) {
    SplittableRandom random = new SplittableRandom(7);
    calls(50, QUICK_S);
    int givenUp = 0;
    int inARow = 0;
    for (int i = 0; i < 200; i++) {
      double responseS = eachWayS * (2 - jitter * (random.nextDouble() + random.nextDouble()));
      inARow = call(responseS) ? 0 : inARow + 1;
      givenUp += inARow > 0 ? 1 : 0;
      assertTrue(inARow <= 2, "call " + i + " is the third consecutive time-out");
    }
    assertTrue(givenUp <= (jitter == 0 ? 2 : 10), givenUp + " of 200 calls timed out");
  }

  @ParameterizedTest(name = "one-way delay {0} s before")
  @CsvSource({"0.8", "1.0", "1.3", "1.8", "5"})
  void theyFallAgainAfterTwelveQuickAnswers(double eachWayS) {
    calls(30, 2 * eachWayS);
    calls(12, QUICK_S);
    assertEquals(1.5, timeouts.timeoutS(Kind.READ), 1e-9);
    assertEquals(1.0, timeouts.timeoutS(Kind.LEASE), 1e-9);
  }

  /** One or several lost packets at once must not lengthen time-outs for long after the next response. */
  @ParameterizedTest(name = "{0} lost calls")
  @CsvSource({"1", "2", "10"})
  void aLostPacketIsSoonForgotten(int lost) {
    calls(50, QUICK_S);
    for (int i = 0; i < lost; i++) {
      timeouts.timedOut(1.5);
    }
    assertEquals(3, timeouts.timeoutS(Kind.READ), 1e-9);
    calls(1, QUICK_S);
    assertTrue(timeouts.timeoutS(Kind.READ) < 1.8, timeouts.timeoutS(Kind.READ) + " s");
    calls(2, QUICK_S);
    assertEquals(1.5, timeouts.timeoutS(Kind.READ), 1e-9);
  }

  /** After an outage of any length, a few fast responses suffice to restore short time-outs. */
  @Test
  void anOutageIsSoonForgotten() {
    calls(50, QUICK_S);
    calls(100, Double.POSITIVE_INFINITY);
    assertEquals(timeouts.capS(), timeouts.timeoutS(Kind.READ), 1e-9);
    calls(3, QUICK_S);
    assertEquals(1.5, timeouts.timeoutS(Kind.READ), 1e-9);
  }

  private void outcome(Outcome<String> outcome, double afterS) {
    CompletableFuture<Outcome<String>> unused =
        timeouts.measure(
            Kind.READ,
            limitS -> {
              clock.runFor(afterS);
              return CompletableFuture.completedFuture(outcome);
            });
  }

  /** Calls that were not sent or lost their connection say nothing about response times; refusals do. */
  @Test
  void onlyAnswersAndTimeOutsCount() {
    outcome(Outcome.notApplied(Reason.RATE_LIMITED, ""), 0);
    outcome(Outcome.notApplied(Reason.NO_CONNECTION, "refused"), 0.01);
    outcome(Outcome.unknown("connection lost"), 1.2);
    assertEquals(1.5, timeouts.timeoutS(Kind.READ), 1e-9);
    outcome(Outcome.notApplied(Reason.REFUSED, "503"), 1.4);
    assertTrue(timeouts.timeoutS(Kind.READ) > 2, "a slow refusal counts as a slow response");
    outcome(Outcome.applied("x"), 0.01);
    outcome(Outcome.unknown("no answer in time"), timeouts.timeoutS(Kind.READ));
    assertTrue(timeouts.timeoutS(Kind.READ) > 2.9, "a time-out must cause back-off");
  }
}
