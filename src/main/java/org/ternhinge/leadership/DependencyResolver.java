package org.ternhinge.leadership;

import java.util.Optional;
import org.ternhinge.ledger.DependencyGraph;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.RecordCodec;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Outcome;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.LeadershipExecutor;

/**
 * Reads the ends of dependencies that the ledger does not hold: they ended before this leadership,
 * or too long ago to be remembered. Each is read once however many jobs depend on it, and only a
 * few at a time, so that a failover with many dependent jobs leaves the key-value store's rate to
 * urgent writes. Guarded by the controller's lock.
 */
final class DependencyResolver {
  /** Reads that may run at once. */
  private static final int MAX_READS = 8;

  /**
   * Seconds until a job without an end is tried again: it has just been accepted by another node,
   * and the watch will bring it.
   */
  private static final double RETRY_S = 0.5;

  private final KeyValueStore store;
  private final Ledger ledger;
  private final DependencyGraph dependencies;
  private final LeadershipExecutor executor;
  private final Runnable onResolved;
  private int runningReads;

  /**
   * Creates a resolver that has read nothing yet.
   *
   * @param onResolved runs after the end of a job has become known
   */
  DependencyResolver(LeadershipContext context, Runnable onResolved) {
    this.store = context.services().store();
    this.ledger = context.ledger();
    this.dependencies = ledger.dependencies();
    this.executor = context.executor();
    this.onResolved = onResolved;
  }

  /** Begins to read what is not known; called whenever jobs may have been added. */
  void pump() {
    while (runningReads < MAX_READS) {
      Optional<JobId> unresolved = dependencies.pollUnresolved();
      if (unresolved.isEmpty()) {
        return;
      }
      JobId id = unresolved.get();
      runningReads++;
      executor.whenAnswered(
          store.get(Keys.end(id), RequestPriority.ENDING), outcome -> answered(id, outcome));
    }
  }

  private void answered(JobId id, Outcome<KeyValueStore.ReadResult> outcome) {
    Optional<Entry> end =
        outcome instanceof Outcome.Applied<KeyValueStore.ReadResult> read
            ? read.value().entry()
            : Optional.empty();
    if (end.isPresent()) {
      runningReads--;
      ledger.resolveEnd(RecordCodec.decodeEnd(id, end.get().value()));
      onResolved.run();
      pump();
    } else {
      executor.schedule(RETRY_S, () -> retry(id));
    }
  }

  private void retry(JobId id) {
    runningReads--;
    dependencies.retryUnresolved(id);
    pump();
  }
}
