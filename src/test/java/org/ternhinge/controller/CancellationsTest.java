package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.sim.Specs;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.JobState;

/** What a user is told of a cancellation, and when. */
class CancellationsTest {
  private final LeadershipParts parts = new LeadershipParts();
  private final Cancellations cancellations =
      new Cancellations(parts.ledger, parts.attempts, parts.writer);
  private final Machine machine = parts.machine("n-1");
  private final Job job = parts.job(Specs.json("wk-1", "batch", 2));
  private final List<JobState.Phase> answers = new ArrayList<>();

  CancellationsTest() {
    parts.onWritten = cancellations::answerDurable;
  }

  /** An answer before the write could be contradicted by the next leader. */
  @Test
  void usersHearOfItOnceTheStoreHoldsIt() {
    parts.store.hold();
    cancellations.cancel(job, state -> answers.add(state.phase()));
    cancellations.cancel(job, state -> answers.add(state.phase()));
    parts.clock.runFor(5);
    assertEquals(List.of(), answers);
    parts.store.letGo();
    parts.clock.runFor(5);
    assertEquals(List.of(JobState.Phase.CANCELLED, JobState.Phase.CANCELLED), answers);
  }

  /**
   * What was never sent is gone at once; what may be on its way stays open until there is proof;
   * what runs is told to stop.
   */
  @ParameterizedTest(name = "written {0}, seen {1}")
  @CsvSource({"false, UNSEEN, false, 0", "true, UNSEEN, true, 0", "true, RUNNING, true, 1"})
  void itsAttemptsAreStopped(boolean written, Attempt.Seen seen, boolean open, int stops) {
    if (!written) {
      parts.store.hold();
    }
    Attempt attempt = parts.open(job, 0, machine);
    attempt.see(seen, parts.now());
    machine.commandsInFlight = false;
    parts.sent.clear();
    cancellations.cancel(job, state -> {});
    assertTrue(attempt.stopping());
    assertEquals(open, job.open(0) == attempt);
    long sentStops = parts.sent.stream().filter(c -> c.op() == Command.Op.STOP).count();
    assertEquals(stops, sentStops);
  }
}
