package org.ternhinge.leadership;

import java.util.Optional;
import org.ternhinge.ledger.DependencyGraph;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.StoredJobState;
import org.ternhinge.ledger.UnreadableRecordLog;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Outcome;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.wire.JobState;

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
   * Seconds until the final state of a job is read again if none is stored, since the job has just
   * been accepted by another node and the watch will report it, or if its record can't be decoded.
   */
  private static final double RETRY_S = 0.5;

  private final KeyValueStore store;
  private final Ledger ledger;
  private final DependencyGraph dependencies;
  private final LeadershipExecutor executor;
  private final Runnable onResolved;
  private final UnreadableRecordLog unreadableRecords = new UnreadableRecordLog();
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
    Optional<JobState> finalState =
        outcome instanceof Outcome.Applied<KeyValueStore.ReadResult> read
            ? read.value().entry().flatMap(entry -> decode(id, entry))
            : Optional.empty();
    if (finalState.isPresent()) {
      runningReads--;
      ledger.resolveEnd(finalState.get());
      onResolved.run();
      resolvePending();
    } else {
      executor.schedule(RETRY_S, () -> retry(id));
    }
  }

  /** Decodes a final record; empty if it is unreadable, so that jobs continue to wait for it. */
  private Optional<JobState> decode(JobId id, Entry entry) {
    StoredJobState state = StoredJobState.ofFinalRecord(id, entry.value());
    if (state instanceof StoredJobState.Decoded decoded) {
      return Optional.of(decoded.state());
    }
    unreadableRecords.report(entry.key(), ((StoredJobState.Unreadable) state).reason());
    return Optional.empty();
  }

  private void retry(JobId id) {
    runningReads--;
    dependencies.retryUnresolved(id);
    resolvePending();
  }
}
