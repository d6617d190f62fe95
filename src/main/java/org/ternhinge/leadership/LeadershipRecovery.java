package org.ternhinge.leadership;

import java.util.function.Consumer;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerLoader;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Revision;
import org.ternhinge.scaling.MachineReleaser;
import org.ternhinge.store.Entry;
import org.ternhinge.term.ControllerServices;
import org.ternhinge.term.LeadershipContext;

/**
 * Restores what earlier leaderships recorded: their jobs with all open attempts, the provision
 * requests and releases whose outcome is not known, and the stops that cancelled jobs still need.
 * Nothing may be decided before, for a double start or a lost stop would follow. Guarded by the
 * controller's lock.
 */
final class LeadershipRecovery {
  private final LeadershipContext context;
  private final Ledger ledger;
  private final MachineComponents fleet;
  private final MachineReleaser releaser;

  LeadershipRecovery(LeadershipContext context, MachineComponents fleet, MachineReleaser releaser) {
    this.context = context;
    this.ledger = context.ledger();
    this.fleet = fleet;
    this.releaser = releaser;
  }

  /**
   * Reads the records, and retries until it has them all.
   *
   * @param onRecovered gets, under the lock, the revision that the ledger was loaded at; not called
   *     once the leadership is over
   */
  void start(Consumer<Revision> onRecovered) {
    ControllerServices services = context.services();
    Clock clock = services.clock();
    new LedgerLoader(services.store(), clock, services.lock())
        .load(
            loaded -> {
              if (!context.executor().stopped()) {
                restore(loaded, clock.now());
                onRecovered.accept(loaded.revision());
              }
            });
  }

  private void restore(LedgerLoader.Loaded loaded, MonotonicTime now) {
    for (Job job : loaded.jobs()) {
      ledger.add(job);
    }
    for (Entry entry : loaded.releases()) {
      releaser.resume(entry);
    }
    for (Entry entry : loaded.provisions()) {
      fleet.provisioner.resume(entry);
    }
    for (MachineId id : ledger.machinesInUse()) {
      fleet.machines.findOrAdd(id, now);
    }
    stopCancelledJobs(now);
    fleet.failures.jobBackoff().recover(loaded.jobs(), now);
  }

  /** An earlier leader may have ended before it had stopped all tasks of a cancelled job. */
  private void stopCancelledJobs(MonotonicTime now) {
    for (Job job : ledger.jobs()) {
      if (job.cancelled()) {
        for (Attempt attempt : job.openAttempts()) {
          attempt.stop(0, now);
        }
      }
    }
  }
}
