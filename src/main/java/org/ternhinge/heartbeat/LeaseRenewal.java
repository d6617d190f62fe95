package org.ternhinge.heartbeat;

import org.ternhinge.machine.Machine;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.term.ControllerServices;

/**
 * Extends the controller's view of worker leases. The controller adds clock drift and a safety
 * margin to the lease, so that a lease that has expired here has also expired at the worker. Used
 * under the controller's lock.
 */
final class LeaseRenewal {
  private final double leaseS;

  LeaseRenewal(ControllerServices services) {
    this.leaseS = services.tuning().workerLeaseS(services.settings().workers());
  }

  /** Extends the lease as of the given time; has no effect if that is earlier than before. */
  void renewFrom(Machine machine, MonotonicTime time) {
    machine.agent().extendLease(time.plusSeconds(leaseS));
  }
}
