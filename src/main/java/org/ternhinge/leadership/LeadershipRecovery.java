package org.ternhinge.leadership;

import java.util.function.Consumer;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerLoader;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.TaskFailures;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Revision;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.scaling.MachineProvisioner;
import org.ternhinge.scaling.MachineReleaser;
import org.ternhinge.store.Entry;
import org.ternhinge.term.ControllerServices;
import org.ternhinge.term.LeadershipExecutor;

/**
 * Starts a leadership from what earlier ones recorded: their jobs with all open attempts, the
 * provision requests and returns whose fate is not known, and the stops that cancelled jobs still
 * need. Nothing may be decided before, for a double start or a lost stop would follow.
 */
final class LeadershipRecovery {
  private final ControllerServices services;
  private final LeadershipExecutor executor;
  private final Ledger ledger;
  private final MachineRegistry machines;
  private final MachineProvisioner provisioner;
  private final MachineReleaser releaser;
  private final TaskFailures failures;

  LeadershipRecovery(
      ControllerServices services,
      LeadershipExecutor executor,
      Ledger ledger,
      MachineRegistry machines,
      MachineProvisioner provisioner,
      MachineReleaser releaser,
      TaskFailures failures) {
    this.services = services;
    this.executor = executor;
    this.ledger = ledger;
    this.machines = machines;
    this.provisioner = provisioner;
    this.releaser = releaser;
    this.failures = failures;
  }

  /**
   * Reads the records, however often it has to ask.
   *
   * @param onRecovered gets, under the lock, the revision that the ledger was loaded at; not called
   *     once the leadership is over
   */
  void start(Consumer<Revision> onRecovered) {
    Clock clock = services.clock();
    new LedgerLoader(services.store(), clock, services.lock())
        .load(
            loaded -> {
              if (!executor.stopped()) {
                resume(loaded, clock.now());
                onRecovered.accept(loaded.revision());
              }
            });
  }

  private void resume(LedgerLoader.Loaded loaded, SteadyTime now) {
    for (Job job : loaded.jobs()) {
      ledger.adopt(job);
    }
    for (Entry entry : loaded.releases()) {
      releaser.resume(entry);
    }
    for (Entry entry : loaded.provisions()) {
      provisioner.resume(entry);
    }
    for (MachineId id : ledger.machinesInUse()) {
      machines.findOrAdd(id, now);
    }
    stopCancelledJobs(now);
    failures.jobBackoff().recover(loaded.jobs(), now);
  }

  /** The duty to end a cancelled job's tasks passes from leader to leader. */
  private void stopCancelledJobs(SteadyTime now) {
    for (Job job : ledger.jobs()) {
      if (job.cancelled()) {
        for (Attempt attempt : job.openAttempts()) {
          attempt.stop(0, now);
        }
      }
    }
  }
}
