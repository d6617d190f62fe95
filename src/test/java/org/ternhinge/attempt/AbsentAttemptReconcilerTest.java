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

/** Tests which open attempts are closed when a status report does not contain them. */
class AbsentAttemptReconcilerTest {
  private final LeadershipFixture fixture = new LeadershipFixture();
  private final AbsentAttemptReconciler reconciler = reconciler(fixture);
  private final Machine machine = fixture.addMachine("n-1");
  private final Job job = fixture.addJob(SubmissionJson.smallJob("wk-1", "batch", 1));

  private static AbsentAttemptReconciler reconciler(LeadershipFixture fixture) {
    return new AbsentAttemptReconciler(fixture.attempts, fixture.authority, fixture.ledger);
  }

  /** The start was in the response to heartbeat {@code startAnswered}, or in none if -1. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "reported before,                   RUNNING,  false, false, -1, HEARTBEAT,        9, true,  NONE",
    "reported before in a response,     RUNNING,  false, true,  -1, COMMAND_RESPONSE, 9, true,  NONE",
    "start outstanding,                 STARTING, false, true,  -1, HEARTBEAT,        9, false, NONE",
    "start not sent,                    STARTING, false, false, -1, HEARTBEAT,        9, false, NONE",
    "response with start not settled,   STARTING, false, false,  3, HEARTBEAT,        3, false, NONE",
    "response with start missed,        STARTING, false, false,  3, HEARTBEAT,        4, false, RESPONSE_MISSED",
    "later command response,            STARTING, false, false,  3, COMMAND_RESPONSE, 4, false, NONE",
    "stopped; start outstanding,        STARTING, true,  true,  -1, HEARTBEAT,        9, false, NONE",
    "stopped; no start outstanding,     STARTING, true,  false, -1, HEARTBEAT,        9, true,  NONE",
    "stopped; response not settled,     STARTING, true,  false,  3, HEARTBEAT,        3, false, NONE",
    "stopped; response settled,         STARTING, true,  false,  3, HEARTBEAT,        4, true,  NONE",
    "stopped; later command response,   STARTING, true,  false,  3, COMMAND_RESPONSE, 4, false, NONE",
    "stopped; settled but outstanding,  STARTING, true,  true,   3, HEARTBEAT,        4, false, NONE"
  })
  void attemptIsClosedOnlyWhenNoStartCanArrive(
      String name,
      AttemptState state,
      boolean stopping,
      boolean startOutstanding,
      long startAnswered,
      MessageOrigin origin,
      long sequence,
      boolean closed,
      Finding expectedFinding) {
    Attempt attempt = fixture.openAttempt(job, 0, machine);
    if (state.isReported()) {
      attempt.observe(state, fixture.now());
    }
    attempt.setStartHeartbeatSequence(startAnswered);
    if (stopping) {
      attempt.requestStop(0, fixture.now());
    }
    if (!startOutstanding) {
      machine.outstandingStarts().settle(attempt.task(), attempt.number());
    }
    Finding finding =
        reconciler.reconcile(
            machine, fixture.heartbeat(machine).sequence(sequence).build(), origin);
    assertEquals(expectedFinding, finding);
    assertEquals(closed ? null : attempt, job.openAttempt(0));
  }

  /** The start of such an attempt has yet to be sent, so no report proves that it has ended. */
  @Test
  void attemptWithoutDurableRecordStaysOpen() {
    fixture.store.pauseWrites();
    Attempt attempt = fixture.openAttempt(job, 0, machine);
    attempt.requestStop(0, fixture.now());
    reconciler.reconcile(machine, fixture.heartbeat(machine).build(), MessageOrigin.HEARTBEAT);
    assertEquals(attempt, job.openAttempt(0));
  }

  @Test
  void attemptOfAnotherEpochStaysOpen() {
    Attempt attempt = fixture.openAttempt(job, 0, machine);
    attempt.observe(AttemptState.RUNNING, fixture.now());
    reconciler.reconcile(
        machine, fixture.heartbeat(machine).epoch(2).build(), MessageOrigin.HEARTBEAT);
    assertEquals(attempt, job.openAttempt(0));
  }

  @Test
  void reportedAttemptStaysOpen() {
    Attempt attempt = fixture.openAttempt(job, 0, machine);
    attempt.observe(AttemptState.RUNNING, fixture.now());
    attempt.setLastReportedRevision(machine.tasksRevision());
    reconciler.reconcile(
        machine,
        fixture.heartbeat(machine).withTask(attempt, TaskState.RUNNING).build(),
        MessageOrigin.HEARTBEAT);
    assertEquals(attempt, job.openAttempt(0));
  }

  /** Only a worker that has seen this term rejects start commands of an earlier leader. */
  @ParameterizedTest(name = "worker reports term {0}")
  @CsvSource({"0, false", "1, true"})
  void attemptOfEarlierLeaderIsClosedOnceWorkerHasSeenTerm(long token, boolean closed)
      throws WireException {
    fixture.openAttempt(job, 0, machine);
    Entry record = fixture.storeCore.get(Keys.JOBS + "wk-1").entry().orElseThrow();
    LeadershipFixture next = new LeadershipFixture();
    next.store.pauseWrites();
    Job recovered = LedgerLoader.read(record.value(), record.revision(), next.now());
    next.ledger.add(recovered);
    List<Attempt> open = List.copyOf(recovered.openAttempts());
    assertEquals(1, open.size());
    Machine sameMachine = next.addMachine("n-1");
    reconciler(next)
        .reconcile(
            sameMachine,
            next.heartbeat(sameMachine).fencingToken(token).build(),
            MessageOrigin.HEARTBEAT);
    assertEquals(closed ? null : open.get(0), recovered.openAttempt(0));
  }
}
