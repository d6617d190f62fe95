package org.ternhinge.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Tuning;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.sim.DirectStore;
import org.ternhinge.sim.InMemoryStore;
import org.ternhinge.sim.SimClock;

/** Validity of a lease and times of its renewals, depending on when renewals are answered. */
class LeadershipLeaseTest {
  private static final double VALIDITY_S = 6 * 0.999 - 0.3;

  private record Renewal(MonotonicTime sent, CompletableFuture<Outcome<Long>> answer) {}

  private final SimClock clock = new SimClock();
  private final List<Renewal> renewals = new ArrayList<>();
  private final MonotonicTime requested = clock.now();
  private int expirations;

  /** A store whose renewals are answered by the test. */
  private final DirectStore store =
      new DirectStore(new InMemoryStore(clock)) {
        @Override
        public CompletableFuture<Outcome<Long>> renewLease(long lease, double timeoutS) {
          Renewal renewal = new Renewal(clock.now(), new CompletableFuture<>());
          renewals.add(renewal);
          return renewal.answer;
        }
      };

  private final LeadershipLease lease =
      new LeadershipLease(
          7,
          requested,
          store,
          clock,
          Tuning.DEFAULT,
          new LockedExecutor(new ReentrantLock()),
          () -> expirations++);

  private double validS() {
    return lease.validUntil().secondsSince(requested);
  }

  private double sentS(int renewal) {
    return renewals.get(renewal).sent.secondsSince(requested);
  }

  private void answer(int renewal) {
    renewals.get(renewal).answer.complete(Outcome.applied(7L));
  }

  @ParameterizedTest(name = "granted after {0} s, first renewal {1} s after the request")
  @CsvSource({"0.01, 2", "1.3, 2", "2.6, 2.6", "3.6, 3.6"})
  void validityCountsFromRequest(double grantedAfterS, double firstRenewalS) {
    clock.runFor(grantedAfterS);
    lease.startRenewals();
    assertEquals(VALIDITY_S, validS(), 1e-6);
    clock.runFor(Math.max(0, firstRenewalS - grantedAfterS) + 0.01);
    assertEquals(firstRenewalS, sentS(0), 1e-6);
  }

  /** With fast responses there is one renewal every two seconds. */
  @Test
  void fastResponsesKeepRenewalInterval() {
    lease.startRenewals();
    for (int i = 0; i < 10; i++) {
      clock.runFor(2.005);
      assertEquals(i + 1, renewals.size());
      answer(i);
      assertEquals(2.0 * (i + 1) + VALIDITY_S, validS(), 0.1);
    }
  }

  /**
   * The next renewal doesn't wait for a late response, and the number of renewals stays bounded.
   */
  @Test
  void renewalsDoNotWaitForResponses() {
    lease.startRenewals();
    clock.runFor(20);
    assertEquals(2, sentS(0), 1e-6);
    assertEquals(3.4, sentS(1), 1e-6);
    assertEquals(4.8, sentS(2), 1e-6);
    assertEquals(13, renewals.size());
  }

  @Test
  void lateResponseExtendsValidityFromSendTime() {
    lease.startRenewals();
    clock.runFor(7);
    assertEquals(VALIDITY_S, validS(), 1e-6);
    answer(0);
    assertEquals(2 + VALIDITY_S, validS(), 1e-6);
    answer(1);
    assertEquals(3.4 + VALIDITY_S, validS(), 1e-6);
  }

  @Test
  void olderRenewalNeverShortensValidity() {
    lease.startRenewals();
    clock.runFor(7);
    answer(2);
    assertEquals(4.8 + VALIDITY_S, validS(), 1e-6);
    answer(0);
    assertEquals(4.8 + VALIDITY_S, validS(), 1e-6);
    renewals.get(1).answer.complete(Outcome.unknown("no answer in time"));
    assertEquals(4.8 + VALIDITY_S, validS(), 1e-6);
  }

  /** Only a failure of the newest renewal schedules an earlier next one. */
  @Test
  void refusalsDoNotMultiplyRenewals() {
    lease.startRenewals();
    clock.runFor(60);
    int sent = renewals.size();
    for (int i = 0; i < sent; i++) {
      renewals.get(i).answer.complete(Outcome.notApplied(Reason.REFUSED, "503"));
    }
    clock.runFor(0.39);
    assertTrue(renewals.size() <= sent + 1, (renewals.size() - sent) + " renewals at once");
    clock.runFor(0.02);
    assertTrue(renewals.size() >= sent + 1, "no renewal after a refusal");
    assertEquals(VALIDITY_S, validS(), 1e-6);
  }

  @Test
  void leaseExpiresWhenStoreReportsItMissing() {
    lease.startRenewals();
    clock.runFor(5);
    renewals.get(0).answer.complete(Outcome.notApplied(Reason.NOT_FOUND, ""));
    renewals.get(1).answer.complete(Outcome.notApplied(Reason.NOT_FOUND, ""));
    assertTrue(lease.expired());
    assertEquals(1, expirations);
    int sent = renewals.size();
    clock.runFor(30);
    assertEquals(sent, renewals.size());
  }

  @Test
  void responsesAfterReleaseAreIgnored() {
    lease.startRenewals();
    clock.runFor(3);
    lease.release();
    renewals.get(0).answer.complete(Outcome.notApplied(Reason.NOT_FOUND, ""));
    assertFalse(lease.expired());
    assertEquals(0, expirations);
    clock.runFor(30);
    assertEquals(1, renewals.size());
  }
}
