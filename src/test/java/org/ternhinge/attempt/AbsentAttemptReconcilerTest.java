package org.ternhinge.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.attempt.AbsentAttemptReconciler.Finding;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.AttemptState;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.LedgerLoader;
import org.ternhinge.machine.Machine;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.store.Entry;
import org.ternhinge.wire.TaskState;
import org.ternhinge.wire.WireException;

/** Which open attempts a status closes by not showing them. */
class AbsentAttemptReconcilerTest {
  private final LeadershipFixture fixture = new LeadershipFixture();
  private final AbsentAttemptReconciler reconciler = reconciler(fixture);
  private final Machine machine = fixture.machine("n-1");
  private final Job job = fixture.job(SubmissionJson.smallJob("wk-1", "batch", 1));

  private static AbsentAttemptReconciler reconciler(LeadershipFixture fixture) {
    return new AbsentAttemptReconciler(fixture.attempts, fixture.authority, fixture.ledger);
  }

  /** The start was carried by the answer to heartbeat 3, or by none where that is -1. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "shown before,                      RUNNING,  false, false, -1, HEARTBEAT,        9, true,  NONE",
    "shown before in a response,        RUNNING,  false, true,  -1, COMMAND_RESPONSE, 9, true,  NONE",
    "start outstanding,                 STARTING, false, true,  -1, HEARTBEAT,        9, false, NONE",
    "start neither sent nor answered,   STARTING, false, false, -1, HEARTBEAT,        9, false, NONE",
    "answer with start not settled,     STARTING, false, false,  3, HEARTBEAT,        3, false, NONE",
    "answer with start missed,          STARTING, false, false,  3, HEARTBEAT,        4, false, ANSWER_MISSED",
    "response after answer with start,  STARTING, false, false,  3, COMMAND_RESPONSE, 4, false, NONE",
    "stopped; start outstanding,        STARTING, true,  true,  -1, HEARTBEAT,        9, false, NONE",
    "stopped; no start outstanding,     STARTING, true,  false, -1, HEARTBEAT,        9, true,  NONE",
    "stopped; answer not settled,       STARTING, true,  false,  3, HEARTBEAT,        3, false, NONE",
    "stopped; answer settled,           STARTING, true,  false,  3, HEARTBEAT,        4, true,  NONE",
    "stopped; response after answer,    STARTING, true,  false,  3, COMMAND_RESPONSE, 4, false, NONE",
    "stopped; both,                     STARTING, true,  true,   3, HEARTBEAT,        4, false, NONE"
  })
  void anAttemptIsClosedOnceNoStartCanArrive(
      String name,
      AttemptState state,
      boolean stopping,
      boolean startOutstanding,
      long startAnswered,
      MessageOrigin origin,
      long sequence,
      boolean closed,
      Finding finding) {
    Attempt attempt = fixture.open(job, 0, machine);
    if (state.isReported()) {
      attempt.observe(state, fixture.now());
    }
    attempt.startAnswered(startAnswered);
    if (stopping) {
      attempt.stop(0, fixture.now());
    }
    if (!startOutstanding) {
      machine.outstandingStarts().settled(attempt.task(), attempt.number());
    }
    Finding found =
        reconciler.reconcile(
            machine, fixture.heartbeat(machine).sequence(sequence).build(), origin);
    assertEquals(finding, found);
    assertEquals(closed ? null : attempt, job.open(0));
  }

  /** Its start is sent only after this, so no status proves that it is over. */
  @Test
  void anAttemptThatIsNotDurableStaysOpen() {
    fixture.store.pauseWrites();
    Attempt attempt = fixture.open(job, 0, machine);
    attempt.stop(0, fixture.now());
    reconciler.reconcile(machine, fixture.heartbeat(machine).build(), MessageOrigin.HEARTBEAT);
    assertEquals(attempt, job.open(0));
  }

  @Test
  void anAttemptOfAnotherEpochStaysOpen() {
    Attempt attempt = fixture.open(job, 0, machine);
    attempt.observe(AttemptState.RUNNING, fixture.now());
    reconciler.reconcile(
        machine, fixture.heartbeat(machine).epoch(2).build(), MessageOrigin.HEARTBEAT);
    assertEquals(attempt, job.open(0));
  }

  @Test
  void anAttemptThatIsShownStaysOpen() {
    Attempt attempt = fixture.open(job, 0, machine);
    attempt.observe(AttemptState.RUNNING, fixture.now());
    attempt.shownIn(machine.tasksRevision());
    reconciler.reconcile(
        machine,
        fixture.heartbeat(machine).showing(attempt, TaskState.RUNNING).build(),
        MessageOrigin.HEARTBEAT);
    assertEquals(attempt, job.open(0));
  }

  /** Starts of an earlier leader are refused only by a worker that has seen this term. */
  @ParameterizedTest(name = "worker shows term {0}")
  @CsvSource({"0, false", "1, true"})
  void anEarlierLeadersAttemptIsClosedOnceTheWorkerHasSeenThisTerm(long token, boolean closed)
      throws WireException {
    fixture.open(job, 0, machine);
    Entry record = fixture.core.get(Keys.JOBS + "wk-1").entry().orElseThrow();
    LeadershipFixture next = new LeadershipFixture();
    next.store.pauseWrites();
    Job recovered = LedgerLoader.read(record.value(), record.revision(), next.now());
    next.ledger.add(recovered);
    List<Attempt> open = List.copyOf(recovered.openAttempts());
    assertEquals(1, open.size());
    Machine sameMachine = next.machine("n-1");
    reconciler(next)
        .reconcile(
            sameMachine,
            next.heartbeat(sameMachine).fencingToken(token).build(),
            MessageOrigin.HEARTBEAT);
    assertEquals(closed ? null : open.get(0), recovered.open(0));
  }
}
