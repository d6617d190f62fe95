package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.model.Term;
import org.ternhinge.sim.Specs;

/** When a leader raises its own term. */
class TermFenceTest {
  private final LeadershipFixture fixture = new LeadershipFixture();
  private final TermFence fence = new TermFence(fixture.authority, fixture.writer, fixture.machines);
  private final Machine machine = fixture.machine("n-1");
  private final Attempt attempt = fixture.open(fixture.job(Specs.json("wk-1", "batch", 1)), 0, machine);

  /** Only a stopped attempt that a start under way alone keeps open is worth a higher term. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "all of it,               true,  UNSEEN,  5,   1, 0, true",
    "not to stop,             false, UNSEEN,  5,   1, 0, false",
    "stopped just now,        true,  UNSEEN,  3.9, 1, 0, false",
    "the worker has shown it, true,  RUNNING, 5,   1, 0, false",
    "no start under way,      true,  UNSEEN,  5,   0, 0, false",
    "fenced already,          true,  UNSEEN,  5,   1, 1, false"
  })
  void isNeeded(
      String name,
      boolean stopping,
      Attempt.Seen seen,
      double stoppedForS,
      int outstanding,
      int fenced,
      boolean needed) {
    if (stopping) {
      attempt.stop(0, fixture.now());
    }
    attempt.see(seen, fixture.now());
    machine.outstandingStarts.put(Machine.key(attempt), outstanding);
    machine.fencedStarts.put(Machine.key(attempt), fenced);
    fixture.clock.runFor(stoppedForS);
    assertEquals(needed, fence.isNeeded(machine, attempt, fixture.now()));
  }

  /** Every raise makes all workers' tokens old, so there is one at a time and few of them. */
  @ParameterizedTest(name = "again after {0} s: term {1}")
  @CsvSource({"0, 2", "9.9, 2", "10.1, 3"})
  void raisesAreKeptApart(double againAfterS, long term) {
    fence.raise(fixture.now());
    fixture.clock.runFor(againAfterS);
    fence.raise(fixture.now());
    fixture.clock.runFor(0.1);
    assertEquals(new Term(term), fixture.authority.term());
  }

  @Test
  void aSecondRaiseWaitsForTheFirst() {
    fixture.store.hold();
    fence.raise(fixture.now());
    fixture.clock.runFor(20);
    fence.raise(fixture.now());
    fixture.store.letGo();
    fixture.clock.runFor(1);
    assertEquals(new Term(2), fixture.authority.term());
  }

  /** A start counts as harmless only once the worker shows the term that was raised for it. */
  @ParameterizedTest(name = "worker shows term {0}")
  @CsvSource({"1, 1", "2, 0"})
  void aWorkerThatShowsTheTermRefusesEarlierStarts(long shown, int outstanding) {
    machine.outstandingStarts.put(Machine.key(attempt), 1);
    fence.raise(fixture.now());
    fixture.clock.runFor(0.1);
    machine.observeFencingToken(new Term(shown));
    assertEquals(outstanding, machine.outstandingStarts.getInt(Machine.key(attempt)));
  }
}
