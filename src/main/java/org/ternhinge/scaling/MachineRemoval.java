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
 * Terminates and removes machines that no longer exist. The cloud's listing is sufficient proof:
 * nothing runs on a machine that is listed as failed or no longer listed, so its attempts are
 * closed without waiting for a heartbeat. Guarded by the controller's lock.
 */
public final class MachineRemoval {
  private final MachineRegistry machines;
  private final Ledger ledger;
  private final ReportedTasks reportedTasks;
  private final AttemptLifecycle attempts;
  private final WorkerClient workers;

  /** Creates an instance, which holds no state of its own. */
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
   * Marks a machine as terminated and closes its attempts. The machine stays registered until it is
   * removed.
   *
   * @param evidence the proof that its attempts have ended, for the log
   */
  void terminate(Machine machine, ClosingEvidence evidence) {
    machine.cloud().markTerminated();
    reportedTasks.update(machine, List.of());
    for (Attempt attempt : List.copyOf(ledger.attemptsOn(machine.id()))) {
      attempts.close(attempt, evidence);
    }
  }

  /** Removes a machine that no longer exists. Machine names are never reused. */
  void remove(Machine machine) {
    terminate(machine, ClosingEvidence.MACHINE_REMOVED);
    machines.remove(machine.id());
    machine.agent().endpoint().ifPresent(workers::closeConnections);
  }
}
