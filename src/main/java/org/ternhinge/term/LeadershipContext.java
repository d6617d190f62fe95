package org.ternhinge.term;

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
 * @param rounds asks for a scheduling round
 * @param electedAt when the leadership began
 */
public record LeadershipContext(
    ControllerServices services,
    Authority authority,
    LeadershipExecutor executor,
    Ledger ledger,
    LedgerWriter writer,
    RoundTrigger rounds,
    SteadyTime electedAt) {

  /** Records of the key-value store under a prefix that hold many small entries each. */
  public BucketedRecords bucketedRecords(String prefix) {
    return new BucketedRecords(writer, prefix, services.settings().storeLimits().valueBytes());
  }
}
