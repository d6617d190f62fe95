package org.ternhinge.failover;

import java.util.Collection;
import java.util.Optional;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.zone.PlacementLookup;

/**
 * Looks up zones of machines and properties of jobs for zone failover. Guarded by the controller's
 * lock.
 */
final class FleetView implements PlacementLookup {
  /** The zone index of a machine whose zone is unknown. */
  static final int UNKNOWN_ZONE = -1;

  private final Ledger ledger;
  private final MachineRegistry machines;

  FleetView(LeadershipContext context, MachineRegistry machines) {
    this.ledger = context.ledger();
    this.machines = machines;
  }

  /**
   * Returns the index of a machine's zone as reported by its worker or the cloud, or otherwise that
   * of the attempts opened on it; {@link #UNKNOWN_ZONE} if there are none.
   */
  int zoneIndex(Machine machine) {
    if (machine.description().zone() >= 0) {
      return machine.description().zone();
    }
    Collection<Attempt> open = ledger.attemptsOn(machine.id());
    return open.isEmpty() ? UNKNOWN_ZONE : open.iterator().next().zone();
  }

  /** Whether no more tasks of a job are to be started. */
  static boolean isFinished(Job job) {
    return job.isCancelled() || job.isFinished();
  }

  @Override
  public Optional<String> zoneOf(MachineId id) {
    return machines.find(id).map(machine -> machine.description().zoneName());
  }

  @Override
  public boolean isGang(JobId id) {
    Job job = ledger.job(id);
    return job != null && job.spec().isGang();
  }
}
