package org.ternhinge.scaling;

import java.util.List;
import org.ternhinge.attempt.AttemptLifecycle;
import org.ternhinge.attempt.ClosingEvidence;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.ReportedTasks;
import org.ternhinge.worker.Workers;

/**
 * Ends what ran on machines that are gone. The cloud's word is proof: nothing runs on a machine
 * that it calls failed or no longer lists, so its attempts may be closed without a heartbeat.
 * Guarded by the controller's lock.
 */
public final class MachineRemoval {
  private final MachineRegistry machines;
  private final Ledger ledger;
  private final ReportedTasks reportedTasks;
  private final AttemptLifecycle attempts;
  private final Workers workers;

  public MachineRemoval(
      MachineRegistry machines,
      Ledger ledger,
      ReportedTasks reportedTasks,
      AttemptLifecycle attempts,
      Workers workers) {
    this.machines = machines;
    this.ledger = ledger;
    this.reportedTasks = reportedTasks;
    this.attempts = attempts;
    this.workers = workers;
  }

  /**
   * Nothing runs on a machine any more, and nothing will. It stays known until it is returned.
   *
   * @param evidence what shows that its attempts are gone, for the log
   */
  void lost(Machine machine, ClosingEvidence evidence) {
    machine.cloud().markTerminated();
    reportedTasks.show(machine, List.of());
    for (Attempt attempt : List.copyOf(ledger.attemptsOn(machine.id()))) {
      attempts.close(attempt, evidence);
    }
  }

  /** A machine is certainly gone; its name never comes back. */
  void remove(Machine machine) {
    lost(machine, ClosingEvidence.MACHINE_GONE);
    machines.remove(machine.id());
    machine.agent().endpoint().ifPresent(workers::forget);
  }
}
