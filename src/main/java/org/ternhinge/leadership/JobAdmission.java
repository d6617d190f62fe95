package org.ternhinge.leadership;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Revision;
import org.ternhinge.round.ArrivalRates;
import org.ternhinge.term.LeadershipContext;

/**
 * Admits newly accepted jobs to the ledger, whether this node or another one has accepted them. A
 * job is admitted once, however often its record is seen. Guarded by the controller's lock.
 */
final class JobAdmission {
  private static final Logger LOG = LoggerFactory.getLogger(JobAdmission.class);

  private final LeadershipContext context;
  private final Ledger ledger;
  private final MachineRegistry machines;
  private final ArrivalRates arrivalRates;
  private final DependencyResolver dependencyResolver;

  /** The revision that the ledger was recovered at. */
  private Revision recoveredAt;

  JobAdmission(
      LeadershipContext context,
      MachineRegistry machines,
      ArrivalRates arrivalRates,
      DependencyResolver dependencyResolver) {
    this.context = context;
    this.ledger = context.ledger();
    this.machines = machines;
    this.arrivalRates = arrivalRates;
    this.dependencyResolver = dependencyResolver;
  }

  /** The ledger holds every job as of this revision; from here on jobs may be admitted. */
  void recovered(Revision revision) {
    recoveredAt = revision;
  }

  /** Whether the ledger holds this job or remembers its end. */
  boolean isKnown(JobId id) {
    return ledger.job(id) != null || ledger.findEnd(id).isPresent();
  }

  /**
   * Admits a job whose record was just created, here or by another node. A record from before the
   * recovery was part of it, or the job had ended by then: the answer to the write of its record
   * may come late, and must not bring an ended job back.
   */
  void admit(Job job, Revision created) {
    JobId id = job.spec().id();
    if (created.compareTo(recoveredAt) <= 0 || isKnown(id)) {
      return;
    }
    MonotonicTime now = context.services().clock().now();
    ledger.add(job);
    LOG.debug("accepted {} of {}", id, job.spec().jobClass());
    arrivalRates.recordArrival(job.spec(), now);
    refreshRaisedPriorities(now);
    dependencyResolver.pump();
    context.writer().pump();
    context.rounds().requestRound();
  }

  /** Dependencies of the new job may have inherited its priority. */
  private void refreshRaisedPriorities(MonotonicTime now) {
    for (Job raised : ledger.dependencies().drainRaised()) {
      for (Attempt attempt : raised.openAttempts()) {
        machines.findOrAdd(attempt.machine(), now).invalidateView();
      }
    }
  }
}
