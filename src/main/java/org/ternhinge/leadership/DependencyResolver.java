package org.ternhinge.leadership;

import java.util.Optional;
import org.ternhinge.ledger.Dependencies;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.RecordCodec;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Outcome;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.term.LeadershipExecutor;

/**
 * Reads how jobs ended that others wait for and that ended before this leadership, or too long ago
 * to be remembered. Each is read once however many wait for it, and only a few at a time, so that a
 * failover with many waiting jobs leaves the key-value store's rate to urgent writes. Guarded by
 * the controller's lock.
 */
final class DependencyResolver {
  /** Reads that may be under way at once. */
  private static final int MAX_READS = 8;

  /**
   * Seconds until a job that was found nowhere is looked for again: it has just been accepted by
   * another node, and the watch will bring it.
   */
  private static final double RETRY_S = 0.5;

  private final KeyValueStore store;
  private final Ledger ledger;
  private final LeadershipExecutor executor;
  private final Runnable onResolved;
  private int readsUnderWay;

  /**
   * Creates a resolver that knows of no end yet.
   *
   * @param onResolved runs after the end of a job has become known
   */
  DependencyResolver(
      KeyValueStore store, Ledger ledger, LeadershipExecutor executor, Runnable onResolved) {
    this.store = store;
    this.ledger = ledger;
    this.executor = executor;
    this.onResolved = onResolved;
  }

  /** Reads what is not known; called under the lock whenever a job may have come. */
  void pump() {
    Dependencies dependencies = ledger.dependencies();
    while (readsUnderWay < MAX_READS) {
      JobId id = dependencies.nextUnresolved();
      if (id == null) {
        return;
      }
      readsUnderWay++;
      executor.whenAnswered(
          store.get(Keys.end(id), RequestPriority.ENDING), outcome -> answered(id, outcome));
    }
  }

  private void answered(JobId id, Outcome<KeyValueStore.Read> outcome) {
    Optional<Entry> end =
        outcome instanceof Outcome.Applied<KeyValueStore.Read> read
            ? read.value().entry()
            : Optional.empty();
    if (end.isPresent()) {
      readsUnderWay--;
      ledger.dependencies().resolved(RecordCodec.decodeEnd(id, end.get().value()));
      onResolved.run();
      pump();
    } else {
      executor.later(RETRY_S, () -> retry(id));
    }
  }

  private void retry(JobId id) {
    readsUnderWay--;
    ledger.dependencies().unknown(id);
    pump();
  }
}
