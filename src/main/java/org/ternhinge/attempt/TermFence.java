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
 * Raises the leadership's own term to fence outstanding starts: direct starts without a response,
 * which may arrive after their attempt was stopped. A worker that has seen the higher term refuses
 * them, so the attempt can be closed as soon as the worker shows that term. Otherwise it would stay
 * open until the worker's epoch ends. Guarded by the controller's lock.
 */
public final class TermFence {
  private static final Logger LOG = LoggerFactory.getLogger(TermFence.class);

  /** Seconds after a stop before a raise is worth a write: most late starts arrive sooner. */
  static final double FENCE_AFTER_S = 4;

  /** Seconds between two raises, each of which outdates the fencing tokens of all workers. */
  static final double MIN_INTERVAL_S = 10;

  private final Authority authority;
  private final LedgerWriter writer;
  private final MachineRegistry machines;

  /** When the last raise began; null before the first. */
  private MonotonicTime lastRaiseAt;

  private boolean raiseInProgress;

  /** Creates a fence that has not raised the term yet. */
  public TermFence(Authority authority, LedgerWriter writer, MachineRegistry machines) {
    this.authority = authority;
    this.writer = writer;
    this.machines = machines;
  }

  /** Whether a raise of the term is needed to close any of a machine's attempts. */
  public boolean isNeededForAny(Machine machine, List<Attempt> attempts, MonotonicTime now) {
    for (Attempt attempt : attempts) {
      if (isNeeded(machine, attempt, now)) {
        return true;
      }
    }
    return false;
  }

  /** Whether a stopped attempt stays open only because a start of it may still arrive unfenced. */
  public boolean isNeeded(Machine machine, Attempt attempt, MonotonicTime now) {
    OutstandingStarts starts = machine.outstandingStarts();
    return attempt.stopping()
        && !attempt.isReported()
        && now.secondsSince(attempt.stopRequest().orElseThrow().at()) > FENCE_AFTER_S
        && starts.mayArrive(attempt.task(), attempt.number())
        && !starts.isFenced(attempt.task(), attempt.number());
  }

  /** Raises the term, unless a raise is in progress or was made a short time ago. */
  public void raise(MonotonicTime now) {
    if (raiseInProgress || wasRaisedLately(now)) {
      return;
    }
    raiseInProgress = true;
    lastRaiseAt = now;
    writer.raiseTerm(this::raised);
  }

  private boolean wasRaisedLately(MonotonicTime now) {
    return lastRaiseAt != null && now.secondsSince(lastRaiseAt) < MIN_INTERVAL_S;
  }

  private void raised() {
    raiseInProgress = false;
    LOG.info("raised the term to {} against outstanding starts", authority.term());
    for (Machine machine : machines.all()) {
      machine.outstandingStarts().fence(authority.term());
    }
  }
}
