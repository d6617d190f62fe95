package org.ternhinge.scaling;

import java.util.List;
import org.ternhinge.attempt.AttemptLifecycle;
import org.ternhinge.attempt.ClosingEvidence;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.ReportedTasks;
import org.ternhinge.worker.WorkerClient;

/**
 * Closes the attempts on machines that are gone, and removes these machines. The cloud's listing is
 * proof: nothing runs on a machine that it lists as failed or no longer lists, so the attempts
 * there are closed without a heartbeat. Guarded by the controller's lock.
 */
public final class MachineRemoval {
  private final MachineRegistry machines;
  private final Ledger ledger;
  private final ReportedTasks reportedTasks;
  private final AttemptLifecycle attempts;
  private final WorkerClient workers;

  /** Creates an instance; it has no state of its own. */
  public MachineRemoval(
      MachineRegistry machines,
      Ledger ledger,
      ReportedTasks reportedTasks,
      AttemptLifecycle attempts,
      WorkerClient workers) {
    this.machines = machines;
    this.ledger = ledger;
    this.reportedTasks = reportedTasks;
    this.attempts = attempts;
    this.workers = workers;
  }

  /**
   * Marks a machine as terminated and closes its attempts. It stays registered until it is removed.
   *
   * @param evidence what proves that its attempts are gone, for the log
   */
  void lost(Machine machine, ClosingEvidence evidence) {
    machine.cloud().markTerminated();
    reportedTasks.show(machine, List.of());
    for (Attempt attempt : List.copyOf(ledger.attemptsOn(machine.id()))) {
      attempts.close(attempt, evidence);
    }
  }

  /** Removes a machine that is certainly gone; its name is never reused. */
  void remove(Machine machine) {
    lost(machine, ClosingEvidence.MACHINE_GONE);
    machines.remove(machine.id());
    machine.agent().endpoint().ifPresent(workers::closeConnections);
  }
}
