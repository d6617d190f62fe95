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
  private static final double FAST_RESPONSE_S = 0.01;

  private final SimClock clock = new SimClock();
  private final ResponseTimeouts timeouts = ResponseTimeouts.of(clock, Tuning.DEFAULT);

  /** Records a call with the given response time; returns false if that exceeds its time-out. */
  private boolean call(double responseS) {
    double limitS = timeouts.timeoutS(Kind.READ);
    if (responseS < limitS) {
      timeouts.recordResponse(responseS);
      return true;
    }
    timeouts.recordTimeout(limitS);
    return false;
  }

  private void calls(int count, double responseS) {
    for (int i = 0; i < count; i++) {
      call(responseS);
    }
  }

  /** The maximum: a lease of 6 s less drift and margin, less the interval of overdue renewals. */
  @Test
  void timeoutsAreLimitedByLease() {
    assertEquals(6 * 0.999 - 0.3 - 1.4, timeouts.maxTimeoutS(), 1e-9);
    for (int i = 0; i < 100; i++) {
      timeouts.recordTimeout(timeouts.timeoutS(Kind.WRITE));
    }
    for (Kind kind : Kind.values()) {
      assertEquals(timeouts.maxTimeoutS(), timeouts.timeoutS(kind), 1e-9);
    }
  }

  @ParameterizedTest(name = "{0}: {1} s initially and with a fast store")
  @CsvSource({"READ, 1.5", "WRITE, 1.5", "LEASE, 1.0"})
  void fastStoreKeepsMinimumTimeout(Kind kind, double floorS) {
    assertEquals(floorS, timeouts.timeoutS(kind), 1e-9);
    calls(50, FAST_RESPONSE_S);
    assertEquals(floorS, timeouts.timeoutS(kind), 1e-9);
  }

  /**
   * When the store becomes slow, at most two consecutive calls time out before the time-outs adapt.
   * With jitter, at most ten of 200 calls time out in total.
   */
  @ParameterizedTest(name = "one-way delay {0} s, jitter fraction {1}")
  @CsvSource({
    "0.3, 0", "0.8, 0", "1.0, 0", "1.3, 0", "1.8, 0", "2.0, 0",
    "0.3, 0.8", "0.8, 0.8", "1.0, 0.8", "1.3, 0.8", "1.8, 0.8", "2.0, 0.8"
  })
  void timeoutsAdaptToSlowStore(double oneWayDelayS, double jitter) {
    SplittableRandom random = new SplittableRandom(7);
    calls(50, FAST_RESPONSE_S);
    int timedOut = 0;
    int consecutive = 0;
    for (int i = 0; i < 200; i++) {
      double responseS = oneWayDelayS * (2 - jitter * (random.nextDouble() + random.nextDouble()));
      consecutive = call(responseS) ? 0 : consecutive + 1;
      timedOut += consecutive > 0 ? 1 : 0;
      assertTrue(consecutive <= 2, "call " + i + " is the third consecutive time-out");
    }
    assertTrue(timedOut <= (jitter == 0 ? 2 : 10), timedOut + " of 200 calls timed out");
  }

  @ParameterizedTest(name = "one-way delay {0} s before")
  @CsvSource({"0.8", "1.0", "1.3", "1.8", "5"})
  void timeoutsFallAfterTwelveFastResponses(double oneWayDelayS) {
    calls(30, 2 * oneWayDelayS);
    calls(12, FAST_RESPONSE_S);
    assertEquals(1.5, timeouts.timeoutS(Kind.READ), 1e-9);
    assertEquals(1.0, timeouts.timeoutS(Kind.LEASE), 1e-9);
  }

  /**
   * One or several lost packets at once must not lengthen time-outs for long after the next
   * response.
   */
  @ParameterizedTest(name = "{0} lost calls")
  @CsvSource({"1", "2", "10"})
  void lostPacketsHaveShortEffect(int lost) {
    calls(50, FAST_RESPONSE_S);
    for (int i = 0; i < lost; i++) {
      timeouts.recordTimeout(1.5);
    }
    assertEquals(3, timeouts.timeoutS(Kind.READ), 1e-9);
    calls(1, FAST_RESPONSE_S);
    assertTrue(timeouts.timeoutS(Kind.READ) < 1.8, timeouts.timeoutS(Kind.READ) + " s");
    calls(2, FAST_RESPONSE_S);
    assertEquals(1.5, timeouts.timeoutS(Kind.READ), 1e-9);
  }

  /** After an outage of any length, a few fast responses suffice to restore short time-outs. */
  @Test
  void outageHasShortEffect() {
    calls(50, FAST_RESPONSE_S);
    calls(100, Double.POSITIVE_INFINITY);
    assertEquals(timeouts.maxTimeoutS(), timeouts.timeoutS(Kind.READ), 1e-9);
    calls(3, FAST_RESPONSE_S);
    assertEquals(1.5, timeouts.timeoutS(Kind.READ), 1e-9);
  }

  private void measureCall(Outcome<String> outcome, double afterS) {
    CompletableFuture<Outcome<String>> unused =
        timeouts.measure(
            Kind.READ,
            limitS -> {
              clock.runFor(afterS);
              return CompletableFuture.completedFuture(outcome);
            });
  }

  /**
   * Calls that were not sent or lost their connection say nothing about response times; refusals
   * do.
   */
  @Test
  void onlyResponsesAndTimeoutsAreRecorded() {
    measureCall(Outcome.notApplied(Reason.RATE_LIMITED, ""), 0);
    measureCall(Outcome.notApplied(Reason.NO_CONNECTION, "refused"), 0.01);
    measureCall(Outcome.unknown("connection lost"), 1.2);
    assertEquals(1.5, timeouts.timeoutS(Kind.READ), 1e-9);
    measureCall(Outcome.notApplied(Reason.REFUSED, "503"), 1.4);
    assertTrue(timeouts.timeoutS(Kind.READ) > 2, "a slow refusal counts as a slow response");
    measureCall(Outcome.applied("x"), 0.01);
    measureCall(Outcome.unknown("no answer in time"), timeouts.timeoutS(Kind.READ));
    assertTrue(timeouts.timeoutS(Kind.READ) > 2.9, "a time-out must cause back-off");
  }
}
