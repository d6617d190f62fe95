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
 * Restores the recorded state of earlier leaderships: jobs with their open attempts, provision
 * requests and releases with unknown outcome, and pending stops of cancelled jobs. No scheduling
 * decision may be made before that, since tasks could be started twice or stops be lost. Guarded by
 * the controller's lock.
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
   * Loads all records, with retries.
   *
   * @param onRecovered receives the revision at which the ledger was loaded; called under the lock,
   *     and not after the leadership has ended
   */
  void start(Consumer<Revision> onRecovered) {
    ControllerServices services = context.services();
    Clock clock = services.clock();
    new LedgerLoader(services.store(), clock, services.lock())
        .load(
            loaded -> {
              if (!context.executor().isStopped()) {
                restore(loaded, clock.now());
                onRecovered.accept(loaded.revision());
              }
            });
  }

  private void restore(LedgerLoader.LoadedState loaded, MonotonicTime now) {
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

  /** Stops the attempts of cancelled jobs that an earlier leader may not have stopped. */
  private void stopCancelledJobs(MonotonicTime now) {
    for (Job job : ledger.jobs()) {
      if (job.isCancelled()) {
        for (Attempt attempt : job.openAttempts()) {
          attempt.requestStop(0, now);
        }
      }
    }
  }
}
