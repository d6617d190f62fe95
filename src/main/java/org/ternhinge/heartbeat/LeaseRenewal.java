package org.ternhinge.heartbeat;

import org.ternhinge.machine.Machine;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.term.ControllerServices;

/**
 * Extends the leases of workers as this controller counts them: by the drift of clocks and a margin
 * longer than the workers do, so that a lease that has expired here has expired at the worker too.
 * Used under the controller's lock.
 */
final class LeaseRenewal {
  private final double leaseS;

  LeaseRenewal(ControllerServices services) {
    this.leaseS = services.tuning().workerLeaseS(services.settings().workers());
  }

  /** The worker may count its lease from this time; an earlier one changes nothing. */
  void renewFrom(Machine machine, MonotonicTime time) {
    machine.agent().extendLease(time.plusSeconds(leaseS));
  }
}
