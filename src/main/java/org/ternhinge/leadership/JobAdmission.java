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
 * Adds newly accepted jobs to the ledger, whether they were accepted by this node or by another. A
 * job is added only once, even if its record is seen repeatedly. Guarded by the controller's lock.
 */
final class JobAdmission {
  private static final Logger LOG = LoggerFactory.getLogger(JobAdmission.class);

  private final LeadershipContext context;
  private final Ledger ledger;
  private final MachineRegistry machines;
  private final ArrivalRates arrivalRates;
  private final DependencyResolver dependencyResolver;

  /** The revision at which the ledger was recovered. */
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

  /** The ledger contains all jobs as of this revision; later jobs may now be admitted. */
  void onRecovered(Revision revision) {
    recoveredAt = revision;
  }

  /** Whether the ledger contains the job or its final state. */
  boolean isKnown(JobId id) {
    return ledger.job(id) != null || ledger.findFinalState(id).isPresent();
  }

  /**
   * Admits a job whose record was created by this node or another. Records created before the
   * recovery are ignored: the job was either recovered or had already ended. The response to the
   * write of a record may be delayed, and an ended job must not be added again.
   */
  void admit(Job job, Revision created) {
    JobId id = job.spec().id();
    if (created.compareTo(recoveredAt) <= 0 || isKnown(id)) {
      return;
    }
    MonotonicTime now = context.services().clock().now();
    ledger.add(job);
    LOG.debug("admitted job {} of class {}", id, job.spec().jobClass());
    arrivalRates.recordArrival(job.spec(), now);
    refreshRaisedPriorities(now);
    dependencyResolver.resolvePending();
    context.writer().sendNext();
    context.rounds().requestRound();
  }

  /** Refreshes the machines of dependencies that have inherited the priority of the new job. */
  private void refreshRaisedPriorities(MonotonicTime now) {
    for (Job raised : ledger.dependencies().drainRaised()) {
      for (Attempt attempt : raised.openAttempts()) {
        machines.findOrAdd(attempt.machine(), now).invalidateView();
      }
    }
  }
}
