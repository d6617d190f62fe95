package org.ternhinge.heartbeat;

import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.term.RoundTrigger;

/**
 * Detects workers whose heartbeats arrive although the responses to them are lost. Guarded by the
 * controller's lock.
 */
public final class ReachabilityMonitor {
  /**
   * If at least this many workers, or a tenth of a large fleet, are unreachable, the fault is
   * assumed to be on this node.
   */
  private static final int MIN_UNREACHABLE_LIMIT = 3;

  private static final int UNREACHABLE_FLEET_DIVISOR = 10;

  private final MachineRegistry machines;
  private final RoundTrigger rounds;

  /** Creates a monitor for a set of machines. */
  public ReachabilityMonitor(MachineRegistry machines, RoundTrigger rounds) {
    this.machines = machines;
    this.rounds = rounds;
  }

  /** Records that a heartbeat does not reflect the previous response. */
  void recordMissedResponse(Machine machine, MonotonicTime now) {
    machine.health().reachability().recordMissedAnswer(now, this::areOthersReachable);
    if (machine.health().reachability().isUnreachable()) {
      rounds.requestRound();
    }
  }

  /** Records that the worker's epoch ended although responses had renewed its lease. */
  void recordLapsedLease(Machine machine, MonotonicTime now) {
    machine.health().reachability().recordLeaseExpiry(now, this::areOthersReachable);
  }

  private boolean areOthersReachable() {
    int unreachable = 0;
    for (Machine machine : machines.all()) {
      unreachable += machine.health().reachability().isUnreachable() ? 1 : 0;
    }
    return unreachable
        < Math.max(MIN_UNREACHABLE_LIMIT, machines.all().size() / UNREACHABLE_FLEET_DIVISOR);
  }
}
