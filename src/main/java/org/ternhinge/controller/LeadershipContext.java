package org.ternhinge.controller;

import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.model.SteadyTime;

/**
 * What most parts of one leadership are built upon.
 *
 * @param services of the process, which outlive the leadership
 * @param authority the term that the leadership acts under
 * @param executor runs actions under the lock until the leadership ends
 * @param ledger jobs and attempts
 * @param writer brings the ledger's changes to the key-value store
 * @param machines all machines that are known
 * @param machineTypes what the cloud provisions
 * @param rounds asks for a scheduling round
 * @param electedAt when the leadership began
 */
record LeadershipContext(
    ControllerServices services,
    Authority authority,
    LeadershipExecutor executor,
    Ledger ledger,
    LedgerWriter writer,
    MachineRegistry machines,
    MachineTypeCatalog machineTypes,
    RoundTrigger rounds,
    SteadyTime electedAt) {

  /** Records of the key-value store under a prefix that hold many small entries each. */
  BucketedRecords bucketedRecords(String prefix) {
    return new BucketedRecords(writer, prefix, services.settings().storeLimits().valueBytes());
  }
}
