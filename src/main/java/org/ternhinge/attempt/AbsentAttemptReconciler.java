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
 * Reconciles the open attempts that are absent from a worker's latest status report. An attempt is
 * closed only if none of its start commands can be executed any more; otherwise its task could run
 * twice.
 *
 * <pre>
 * absent attempt                  closed if                              evidence
 * ------------------------------  -------------------------------------  ---------------------
 * not durable yet                 never: its start is not sent yet       -
 * opened by an earlier leader     the worker has seen this term          ABSENT_AFTER_FAILOVER
 * reported before                 always                                 NO_LONGER_REPORTED
 * never reported, to be started   never: its start may still arrive      -
 * never reported, to be stopped   no direct start is outstanding, and    STOPPED_BEFORE_START
 *                                 no heartbeat response with a start is
 * </pre>
 *
 * <p>A heartbeat response with a start is settled by a later heartbeat: the worker sends the next
 * heartbeat only after it has received the response or stopped waiting for it. Guarded by the
 * controller's lock.
 */
public final class AbsentAttemptReconciler {
  /** What absent attempts show about the delivery of heartbeat responses. */
  public enum Finding {
    /** No response is known to be lost. */
    NONE,
    /** The worker has not received a start that an earlier response contained. */
    RESPONSE_MISSED
  }

  private final AttemptLifecycle attempts;
  private final Authority authority;
  private final Ledger ledger;

  /** Creates a reconciler for the attempts of one leadership term. */
  public AbsentAttemptReconciler(AttemptLifecycle attempts, Authority authority, Ledger ledger) {
    this.attempts = attempts;
    this.authority = authority;
    this.ledger = ledger;
  }

  /** Closes the absent attempts of the worker's epoch that can no longer run. */
  public Finding reconcile(Machine machine, Heartbeat status, MessageOrigin origin) {
    Finding finding = Finding.NONE;
    for (Attempt attempt : absentAttempts(machine, status)) {
      if (hasMissedResponse(attempt, status, origin)) {
        finding = Finding.RESPONSE_MISSED;
      }
      if (isAbsentAfterFailover(attempt, status)) {
        attempts.close(attempt, ClosingEvidence.ABSENT_AFTER_FAILOVER);
      } else if (isNoLongerReported(attempt)) {
        attempts.close(attempt, ClosingEvidence.NO_LONGER_REPORTED);
      } else if (isStoppedBeforeStart(machine, attempt, status, origin)) {
        attempts.close(attempt, ClosingEvidence.STOPPED_BEFORE_START);
      }
    }
    return finding;
  }

  /** Returns a copy, since closing an attempt modifies the ledger's own collection. */
  private List<Attempt> absentAttempts(Machine machine, Heartbeat status) {
    List<Attempt> absent = List.of();
    for (Attempt attempt : ledger.attemptsOn(machine.id())) {
      if (attempt.lastReportedRevision() != machine.tasksRevision()
          && attempt.epoch().equals(status.epoch())) {
        // Allocated on demand: this runs for every heartbeat, and most report all attempts.
        absent = absent.isEmpty() ? new ArrayList<>() : absent;
        absent.add(attempt);
      }
    }
    return absent;
  }

  private boolean isAbsentAfterFailover(Attempt attempt, Heartbeat status) {
    return attempt.isDurable()
        && attempt.isRecovered()
        && status.fencingToken().compareTo(authority.term()) >= 0;
  }

  private static boolean isNoLongerReported(Attempt attempt) {
    return !attempt.isRecovered() && attempt.isReported();
  }

  private static boolean isStoppedBeforeStart(
      Machine machine, Attempt attempt, Heartbeat status, MessageOrigin origin) {
    return isNeverReported(attempt)
        && attempt.isStopRequested()
        && (!wasStartInHeartbeatResponse(attempt)
            || isHeartbeatResponseSettled(attempt, status, origin))
        && !machine.outstandingStarts().mayBeExecuted(attempt.task(), attempt.number());
  }

  private static boolean hasMissedResponse(
      Attempt attempt, Heartbeat status, MessageOrigin origin) {
    return isNeverReported(attempt)
        && !attempt.isStopRequested()
        && wasStartInHeartbeatResponse(attempt)
        && isHeartbeatResponseSettled(attempt, status, origin);
  }

  private static boolean isNeverReported(Attempt attempt) {
    return !attempt.isRecovered() && attempt.state() == AttemptState.STARTING;
  }

  private static boolean wasStartInHeartbeatResponse(Attempt attempt) {
    return attempt.startHeartbeatSequence() >= 0;
  }

  /** Whether this heartbeat is later than the one whose response contained the start. */
  private static boolean isHeartbeatResponseSettled(
      Attempt attempt, Heartbeat status, MessageOrigin origin) {
    return origin == MessageOrigin.HEARTBEAT
        && status.sequence() > attempt.startHeartbeatSequence();
  }
}
