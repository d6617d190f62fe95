package org.ternhinge.heartbeat;

import java.util.List;
import org.ternhinge.attempt.AttemptLifecycle;
import org.ternhinge.attempt.ClosingEvidence;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.MonotonicTime;

/**
 * Handles the beginning of a new worker agent epoch. The agent's lease has expired or the agent was
 * restarted, so no task of an earlier epoch is still running. Guarded by the controller's lock.
 */
final class AgentEpochChange {
  /**
   * If an epoch ends more than this many seconds before the controller's lease expiry, the worker
   * did not receive the responses that renewed the lease.
   */
  private static final double MIN_REMAINING_LEASE_S = 2;

  private final Ledger ledger;
  private final AttemptLifecycle attempts;
  private final ReachabilityMonitor reachability;
  private final LeaseRenewal leases;

  AgentEpochChange(
      Ledger ledger,
      AttemptLifecycle attempts,
      ReachabilityMonitor reachability,
      LeaseRenewal leases) {
    this.ledger = ledger;
    this.attempts = attempts;
    this.reachability = reachability;
    this.leases = leases;
  }

  /** Begins an epoch that is newer than the current one. */
  void begin(Machine machine, AgentEpoch epoch, MonotonicTime now) {
    closeAttemptsBefore(machine, epoch);
    machine.outstandingStarts().clear();
    machine.outbox().clear();
    machine.agent().beginEpoch(epoch);
    if (hasLeaseLapsed(machine, now)) {
      reachability.recordLapsedLease(machine, now);
    }
    // The epoch may have just begun, and lasts for a full lease even without a response.
    leases.renewFrom(machine, now);
  }

  private void closeAttemptsBefore(Machine machine, AgentEpoch epoch) {
    for (Attempt attempt : List.copyOf(ledger.attemptsOn(machine.id()))) {
      if (attempt.epoch().compareTo(epoch) < 0) {
        attempts.close(attempt, ClosingEvidence.EPOCH_ENDED);
      }
    }
  }

  private static boolean hasLeaseLapsed(Machine machine, MonotonicTime now) {
    return machine.agent().wasAnswered()
        && machine.agent().leaseExpiry().secondsSince(now) > MIN_REMAINING_LEASE_S;
  }
}
