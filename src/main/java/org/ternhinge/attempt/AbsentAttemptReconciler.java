package org.ternhinge.attempt;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.AttemptState;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.wire.Heartbeat;

/**
 * Reconciles the open attempts that a worker's newest status does not show. An attempt is closed
 * only where no start of it can still arrive, since its task would otherwise run twice.
 *
 * <pre>
 * attempt that is not shown       closed if                              evidence
 * ------------------------------  -------------------------------------  ---------------------
 * not durable yet                 never: its start is still to be sent   -
 * opened by an earlier leader     the worker has seen this term          ABSENT_AFTER_FAILOVER
 * shown before                    always                                 VANISHED
 * never shown, to be started      never: its start may still arrive      -
 * never shown, to be stopped      no direct start is outstanding, and    STOPPED_BEFORE_START
 *                                 no answer that carried a start is
 * </pre>
 *
 * <p>An answer that carried a start is settled by a later heartbeat, which the worker sends only
 * after it has received the answer or given it up. Guarded by the controller's lock.
 */
public final class AbsentAttemptReconciler {
  /** What absent attempts tell about the answers to heartbeats. */
  public enum Finding {
    /** No answer is known to be lost. */
    NONE,
    /** The worker lacks a start that an earlier answer has carried. */
    ANSWER_MISSED
  }

  private final AttemptLifecycle attempts;
  private final Authority authority;
  private final Ledger ledger;

  /** Creates a reconciler for the attempts of one leadership. */
  public AbsentAttemptReconciler(AttemptLifecycle attempts, Authority authority, Ledger ledger) {
    this.attempts = attempts;
    this.authority = authority;
    this.ledger = ledger;
  }

  /** Closes the absent attempts of the worker's epoch that are proved to be over. */
  public Finding reconcile(Machine machine, Heartbeat status, MessageOrigin origin) {
    Finding finding = Finding.NONE;
    for (Attempt attempt : absentAttempts(machine, status)) {
      if (hasMissedAnswer(attempt, status, origin)) {
        finding = Finding.ANSWER_MISSED;
      }
      if (isLeftByEarlierLeader(attempt, status)) {
        attempts.close(attempt, ClosingEvidence.ABSENT_AFTER_FAILOVER);
      } else if (hasVanished(attempt)) {
        attempts.close(attempt, ClosingEvidence.VANISHED);
      } else if (isStoppedBeforeStart(machine, attempt, status, origin)) {
        attempts.close(attempt, ClosingEvidence.STOPPED_BEFORE_START);
      }
    }
    return finding;
  }

  /** The absent attempts, apart from the ledger's own collection, which closing one changes. */
  private List<Attempt> absentAttempts(Machine machine, Heartbeat status) {
    List<Attempt> absent = List.of();
    for (Attempt attempt : ledger.attemptsOn(machine.id())) {
      if (attempt.lastReportedRevision() != machine.tasksRevision()
          && attempt.epoch().equals(status.epoch())) {
        // Most heartbeats show all attempts, and this runs for all of them.
        absent = absent.isEmpty() ? new ArrayList<>() : absent;
        absent.add(attempt);
      }
    }
    return absent;
  }

  private boolean isLeftByEarlierLeader(Attempt attempt, Heartbeat status) {
    return attempt.isDurable()
        && attempt.isRecovered()
        && status.fencingToken().compareTo(authority.term()) >= 0;
  }

  private static boolean hasVanished(Attempt attempt) {
    return !attempt.isRecovered() && attempt.isReported();
  }

  private static boolean isStoppedBeforeStart(
      Machine machine, Attempt attempt, Heartbeat status, MessageOrigin origin) {
    return isNeverShown(attempt)
        && attempt.isStopRequested()
        && (!wasStartInAnswer(attempt) || isAnswerSettled(attempt, status, origin))
        && !machine.outstandingStarts().mayArrive(attempt.task(), attempt.number());
  }

  private static boolean hasMissedAnswer(Attempt attempt, Heartbeat status, MessageOrigin origin) {
    return isNeverShown(attempt)
        && !attempt.isStopRequested()
        && wasStartInAnswer(attempt)
        && isAnswerSettled(attempt, status, origin);
  }

  private static boolean isNeverShown(Attempt attempt) {
    return !attempt.isRecovered() && attempt.state() == AttemptState.STARTING;
  }

  private static boolean wasStartInAnswer(Attempt attempt) {
    return attempt.startHeartbeatSequence() >= 0;
  }

  /** Whether a heartbeat has come that is later than the one whose answer carried the start. */
  private static boolean isAnswerSettled(Attempt attempt, Heartbeat status, MessageOrigin origin) {
    return origin == MessageOrigin.HEARTBEAT
        && status.sequence() > attempt.startHeartbeatSequence();
  }
}
