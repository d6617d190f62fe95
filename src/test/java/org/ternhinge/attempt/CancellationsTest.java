package org.ternhinge.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.AttemptState;
import org.ternhinge.ledger.Job;
import org.ternhinge.machine.Machine;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.JobState;

/** When a cancellation is answered, and what becomes of the attempts of its job. */
class CancellationsTest {
  private final LeadershipFixture fixture = new LeadershipFixture();
  private final Cancellations cancellations =
      new Cancellations(fixture.ledger, fixture.attempts, fixture.writer);
  private final Machine machine = fixture.machine("n-1");
  private final Job job = fixture.job(SubmissionJson.smallJob("wk-1", "batch", 2));
  private final List<JobState.Phase> answers = new ArrayList<>();

  CancellationsTest() {
    fixture.onWritten = cancellations::answerDurable;
  }

  /** An answer before the write could be contradicted by the next leader. */
  @Test
  void requestsAreAnsweredOnceTheCancellationIsDurable() {
    fixture.store.pauseWrites();
    cancellations.cancel(job, state -> answers.add(state.phase()));
    cancellations.cancel(job, state -> answers.add(state.phase()));
    fixture.clock.runFor(5);
    assertEquals(List.of(), answers);
    fixture.store.resume();
    fixture.clock.runFor(5);
    assertEquals(List.of(JobState.Phase.CANCELLED, JobState.Phase.CANCELLED), answers);
  }

  /**
   * An attempt whose start was never sent is closed at once; one whose start may be in flight stays
   * open until there is proof that it is over; one that runs is stopped.
   */
  @ParameterizedTest(name = "written {0}, seen {1}")
  @CsvSource({"false, STARTING, false, 0", "true, STARTING, true, 0", "true, RUNNING, true, 1"})
  void itsAttemptsAreStopped(boolean written, AttemptState seen, boolean open, int stops) {
    if (!written) {
      fixture.store.pauseWrites();
    }
    Attempt attempt = fixture.open(job, 0, machine);
    if (seen.isReported()) {
      attempt.observe(seen, fixture.now());
    }
    machine.outbox().markLanded();
    fixture.sent.clear();
    cancellations.cancel(job, state -> {});
    assertTrue(attempt.stopping());
    assertEquals(open, job.open(0) == attempt);
    long sentStops = fixture.sent.stream().filter(c -> c.op() == Command.Op.STOP).count();
    assertEquals(stops, sentStops);
  }
}
