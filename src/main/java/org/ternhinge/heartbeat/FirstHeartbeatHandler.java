package org.ternhinge.heartbeat;

import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.BootTimes;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.scaling.MachineProvisioner;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.RoundTrigger;

/**
 * Makes a machine available to the planner when its first heartbeat in a leadership term arrives.
 * Guarded by the controller's lock.
 */
public final class FirstHeartbeatHandler {
  private final Ledger ledger;
  private final RoundTrigger rounds;
  private final MachineProvisioner provisioner;
  private final BootTimes bootTimes;

  /** Creates a handler for the machines of one leadership term. */
  public FirstHeartbeatHandler(
      LeadershipContext context, MachineProvisioner provisioner, BootTimes bootTimes) {
    this.ledger = context.ledger();
    this.rounds = context.rounds();
    this.provisioner = provisioner;
    this.bootTimes = bootTimes;
  }

  /** Handles the first heartbeat of a machine's worker. */
  void handle(Machine machine, MonotonicTime now) {
    machine.invalidateView();
    if (ledger.attemptsOn(machine.id()).isEmpty()) {
      machine.markIdle(now);
    }
    bootTimes.recordBoot(machine, now);
    provisioner.markSeen(machine.id());
    rounds.requestRound();
  }
}
