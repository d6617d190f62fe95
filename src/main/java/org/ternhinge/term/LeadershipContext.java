package org.ternhinge.term;

import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.model.MonotonicTime;

/**
 * What the components of one leadership are built on.
 *
 * @param services the services of the process, which outlive the leadership
 * @param authority the term that the leadership acts under
 * @param executor runs actions under the controller's lock until the leadership ends
 * @param ledger the jobs and attempts that this leadership knows
 * @param writer writes the ledger's changes to the key-value store
 * @param rounds requests scheduling rounds
 * @param electedAt when the leadership began
 */
public record LeadershipContext(
    ControllerServices services,
    Authority authority,
    LeadershipExecutor executor,
    Ledger ledger,
    LedgerWriter writer,
    RoundTrigger rounds,
    MonotonicTime electedAt) {

  /**
   * Creates a store of many small entries in few records.
   *
   * @param prefix the prefix of the keys of these records
   */
  public BucketedRecords bucketedRecords(String prefix) {
    return new BucketedRecords(writer, prefix, services.settings().storeLimits().valueBytes());
  }
}
