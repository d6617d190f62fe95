package org.ternhinge.heartbeat;

import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.term.RoundTrigger;

/**
 * Detects workers whose heartbeats arrive while the answers to them are lost. Guarded by the
 * controller's lock.
 */
public final class ReachabilityMonitor {
  /**
   * From so many unreachable workers on, or a tenth of a large fleet, the fault is taken to be this
   * node's own.
   */
  private static final int MIN_UNREACHABLE_LIMIT = 3;

  private static final int UNREACHABLE_FLEET_DIVISOR = 10;

  private final MachineRegistry machines;
  private final RoundTrigger rounds;

  /** Creates a monitor of these machines. */
  public ReachabilityMonitor(MachineRegistry machines, RoundTrigger rounds) {
    this.machines = machines;
    this.rounds = rounds;
  }

  /** A heartbeat shows no effect of the answer before it. */
  void answerMissed(Machine machine, MonotonicTime now) {
    machine.health().reachability().answerMissed(now, this::areOthersReachable);
    if (machine.health().reachability().unreachable()) {
      rounds.requestRound();
    }
  }

  /** The worker's epoch has ended although its lease was renewed by answers. */
  void leaseLapsed(Machine machine, MonotonicTime now) {
    machine.health().reachability().leaseLapsed(now, this::areOthersReachable);
  }

  private boolean areOthersReachable() {
    int unreachable = 0;
    for (Machine machine : machines.all()) {
      unreachable += machine.health().reachability().unreachable() ? 1 : 0;
    }
    return unreachable
        < Math.max(MIN_UNREACHABLE_LIMIT, machines.all().size() / UNREACHABLE_FLEET_DIVISOR);
  }
}
