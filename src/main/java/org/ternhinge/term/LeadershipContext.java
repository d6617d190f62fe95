package org.ternhinge.term;

import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.model.MonotonicTime;

/**
 * The dependencies shared by the components of one leadership.
 *
 * @param services services of the process, which live longer than the leadership
 * @param authority the term that the leadership acts under
 * @param executor runs actions under the controller's lock until the leadership ends
 * @param ledger in-memory state of the jobs and attempts
 * @param writer writes changes of the ledger to the key-value store
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
   * Creates a store that packs many small entries into few records.
   *
   * @param prefix the prefix of the keys of these records
   */
  public BucketedRecords bucketedRecords(String prefix) {
    return new BucketedRecords(writer, prefix, services.settings().storeLimits().valueBytes());
  }
}
