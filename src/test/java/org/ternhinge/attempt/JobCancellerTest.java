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

/** Tests when a cancellation is confirmed and how the attempts of the job are stopped. */
class JobCancellerTest {
  private final LeadershipFixture fixture = new LeadershipFixture();
  private final JobCanceller jobCanceller =
      new JobCanceller(fixture.ledger, fixture.attempts, fixture.writer);
  private final Machine machine = fixture.addMachine("n-1");
  private final Job job = fixture.addJob(SubmissionJson.smallJob("wk-1", "batch", 2));
  private final List<JobState.Phase> answers = new ArrayList<>();

  JobCancellerTest() {
    fixture.afterWrite = jobCanceller::completeDurable;
  }

  /** If a cancellation was confirmed before the write, the next leader might run the job. */
  @Test
  void requestsAreCompletedOnceCancellationIsDurable() {
    fixture.store.pauseWrites();
    jobCanceller.cancel(job, state -> answers.add(state.phase()));
    jobCanceller.cancel(job, state -> answers.add(state.phase()));
    fixture.clock.runFor(5);
    assertEquals(List.of(), answers);
    fixture.store.resume();
    fixture.clock.runFor(5);
    assertEquals(List.of(JobState.Phase.CANCELLED, JobState.Phase.CANCELLED), answers);
  }

  /**
   * An attempt whose start was never sent is closed immediately. One whose start may be in flight
   * stays open until there is evidence that it has ended. A running one is stopped.
   */
  @ParameterizedTest(name = "durable {0}, reported {1}")
  @CsvSource({"false, STARTING, false, 0", "true, STARTING, true, 0", "true, RUNNING, true, 1"})
  void cancelledJobsAttemptsAreClosedOrStopped(
      boolean durable, AttemptState reported, boolean open, int stops) {
    if (!durable) {
      fixture.store.pauseWrites();
    }
    Attempt attempt = fixture.openAttempt(job, 0, machine);
    if (reported.isReported()) {
      attempt.observe(reported, fixture.now());
    }
    machine.outbox().markCompleted();
    fixture.sentCommands.clear();
    jobCanceller.cancel(job, state -> {});
    assertTrue(attempt.isStopRequested());
    assertEquals(open, job.openAttempt(0) == attempt);
    long sentStops = fixture.sentCommands.stream().filter(c -> c.op() == Command.Op.STOP).count();
    assertEquals(stops, sentStops);
  }
}
