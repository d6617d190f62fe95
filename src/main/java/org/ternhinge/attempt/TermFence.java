package org.ternhinge.attempt;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.OutstandingStarts;
import org.ternhinge.model.MonotonicTime;

/**
 * Raises the leader's own term to fence outstanding starts: direct starts without a response, which
 * may arrive after their attempt was stopped. A worker that has seen the higher term rejects them,
 * so the attempt can be closed as soon as the worker reports that term. Without fencing, the
 * attempt would stay open until the worker's epoch ends. Guarded by the controller's lock.
 */
public final class TermFence {
  private static final Logger LOG = LoggerFactory.getLogger(TermFence.class);

  /** Seconds to wait after a stop; most late starts arrive earlier and need no term write. */
  static final double FENCE_AFTER_S = 4;

  /** Seconds between two raises; each raise makes the fencing tokens of all workers outdated. */
  static final double MIN_INTERVAL_S = 10;

  private final Authority authority;
  private final LedgerWriter writer;
  private final MachineRegistry machines;

  /** When the last raise was started; null before the first. */
  private MonotonicTime lastRaiseAt;

  private boolean raiseInProgress;

  /** Creates a fence for the outstanding starts of these machines. */
  public TermFence(Authority authority, LedgerWriter writer, MachineRegistry machines) {
    this.authority = authority;
    this.writer = writer;
    this.machines = machines;
  }

  /** Whether the term must be raised to close any of these attempts. */
  public boolean isNeededForAny(Machine machine, List<Attempt> attempts, MonotonicTime now) {
    for (Attempt attempt : attempts) {
      if (isNeeded(machine, attempt, now)) {
        return true;
      }
    }
    return false;
  }

  /** Whether a stopped attempt stays open only because an unfenced start may still arrive. */
  public boolean isNeeded(Machine machine, Attempt attempt, MonotonicTime now) {
    OutstandingStarts starts = machine.outstandingStarts();
    return attempt.isStopRequested()
        && !attempt.isReported()
        && now.secondsSince(attempt.stopRequest().orElseThrow().requestedAt()) > FENCE_AFTER_S
        && starts.mayArrive(attempt.task(), attempt.number())
        && !starts.isFenced(attempt.task(), attempt.number());
  }

  /** Raises the term, unless a raise is in progress or was started recently. */
  public void raise(MonotonicTime now) {
    if (raiseInProgress || wasRaisedRecently(now)) {
      return;
    }
    raiseInProgress = true;
    lastRaiseAt = now;
    writer.raiseTerm(this::handleRaised);
  }

  private boolean wasRaisedRecently(MonotonicTime now) {
    return lastRaiseAt != null && now.secondsSince(lastRaiseAt) < MIN_INTERVAL_S;
  }

  private void handleRaised() {
    raiseInProgress = false;
    LOG.info("raised the term to {} to fence outstanding starts", authority.term());
    for (Machine machine : machines.all()) {
      machine.outstandingStarts().fence(authority.term());
    }
  }
}
