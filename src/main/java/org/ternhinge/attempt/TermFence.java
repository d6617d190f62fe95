package org.ternhinge.attempt;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.AttemptState;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.model.SteadyTime;

/**
 * Raises the own term where a start whose answer was lost may still arrive after its attempt was
 * stopped. Workers that have seen the higher term refuse commands of the lower one, so once a
 * worker shows it, the late start can do no harm and the attempt can be closed. Without this the
 * attempt would stay open until the worker's epoch ends. Guarded by the controller's lock.
 */
public final class TermFence {
  private static final Logger LOG = LoggerFactory.getLogger(TermFence.class);

  /** Seconds after the stop before a raise is worth a write: most late starts show up sooner. */
  static final double FENCE_AFTER_S = 4;

  /** Seconds between two raises, each of which makes every worker's token old. */
  static final double MIN_INTERVAL_S = 10;

  private final Authority authority;
  private final LedgerWriter writer;
  private final MachineRegistry machines;

  /** When the term was last raised, or null. */
  private SteadyTime raisedAt;

  private boolean raising;

  public TermFence(Authority authority, LedgerWriter writer, MachineRegistry machines) {
    this.authority = authority;
    this.writer = writer;
    this.machines = machines;
  }

  /** Whether a stopped attempt is kept open by nothing but a start that may still arrive. */
  public boolean isNeeded(Machine machine, Attempt attempt, SteadyTime now) {
    return attempt.stopping()
        && attempt.state() == AttemptState.STARTING
        && now.secondsSince(attempt.stopAt()) > FENCE_AFTER_S
        && machine.outstandingStarts().mayArrive(attempt.task(), attempt.number())
        && !machine.outstandingStarts().isFenced(attempt.task(), attempt.number());
  }

  /** Raises the term, unless a raise is under way or was made just now. */
  public void raise(SteadyTime now) {
    if (raising || (raisedAt != null && now.secondsSince(raisedAt) < MIN_INTERVAL_S)) {
      return;
    }
    raising = true;
    raisedAt = now;
    writer.raiseTerm(this::raised);
  }

  private void raised() {
    raising = false;
    LOG.info("raised the term to {} against outstanding starts", authority.term());
    for (Machine machine : machines.all()) {
      machine.outstandingStarts().fence(authority.term());
    }
  }
}
