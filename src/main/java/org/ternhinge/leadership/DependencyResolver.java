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
 * Reads the final states of dependencies that are not in the ledger because they ended before this
 * leadership, or so long ago that the ledger has dropped them. Each is read once, regardless of how
 * many jobs depend on it. Concurrent reads are limited, so that after a failover with many
 * dependent jobs the key-value store's request rate remains available for urgent writes. Guarded by
 * the controller's lock.
 */
final class DependencyResolver {
  /** Maximum number of concurrent reads. */
  private static final int MAX_READS = 8;

  /**
   * Seconds until the final state of a job is read again if none is stored: the job has just been
   * accepted by another node, and the watch will report it.
   */
  private static final double RETRY_S = 0.5;

  private final KeyValueStore store;
  private final Ledger ledger;
  private final DependencyGraph dependencies;
  private final LeadershipExecutor executor;
  private final Runnable onResolved;
  private int runningReads;

  /**
   * Creates a resolver with no reads in progress.
   *
   * @param onResolved runs after each resolved dependency
   */
  DependencyResolver(LeadershipContext context, Runnable onResolved) {
    this.store = context.services().store();
    this.ledger = context.ledger();
    this.dependencies = ledger.dependencies();
    this.executor = context.executor();
    this.onResolved = onResolved;
  }

  /** Starts reads for unresolved dependencies. Called whenever jobs may have been added. */
  void resolvePending() {
    while (runningReads < MAX_READS) {
      Optional<JobId> unresolved = dependencies.pollUnresolved();
      if (unresolved.isEmpty()) {
        return;
      }
      JobId id = unresolved.get();
      runningReads++;
      executor.whenAnswered(
          store.get(Keys.finalRecord(id), RequestPriority.ENDING),
          outcome -> handleReadResult(id, outcome));
    }
  }

  private void handleReadResult(JobId id, Outcome<KeyValueStore.ReadResult> outcome) {
    Optional<Entry> end =
        outcome instanceof Outcome.Applied<KeyValueStore.ReadResult> read
            ? read.value().entry()
            : Optional.empty();
    if (end.isPresent()) {
      runningReads--;
      ledger.resolveEnd(RecordCodec.decodeFinalRecord(id, end.get().value()));
      onResolved.run();
      resolvePending();
    } else {
      executor.schedule(RETRY_S, () -> retry(id));
    }
  }

  private void retry(JobId id) {
    runningReads--;
    dependencies.retryUnresolved(id);
    resolvePending();
  }
}
