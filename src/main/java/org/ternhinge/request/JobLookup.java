package org.ternhinge.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.StoredJobState;
import org.ternhinge.ledger.UnreadableRecordLog;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.metrics.JobRequestMetrics;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Outcome;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.wire.JobState;

/**
 * Reads the state of a job from the key-value store, on any node. A job counts as cancelled as soon
 * as one of its direct or indirect dependencies is cancelled, even if its own record does not say
 * so yet. The dependencies are therefore read too; if they can't be read, the state is unavailable.
 */
public final class JobLookup {
  private static final Logger LOG = LoggerFactory.getLogger(JobLookup.class);

  /**
   * Largest number of dependencies read for one lookup; for longer chains, the leader has the
   * states in memory.
   */
  private static final int MAX_DEPENDENCY_READS = 64;

  /** The result of a lookup. */
  sealed interface Result permits Found, Absent, Unavailable {}

  /**
   * The job exists.
   *
   * @param state the state that users see
   * @param service whether the job is known to be a service; the record of an ended job does not
   *     contain this
   */
  record Found(JobState state, boolean service) implements Result {}

  /** The job was never accepted. */
  record Absent() implements Result {}

  /**
   * The key-value store can't be read now, a record can't be decoded, or the chain of dependencies
   * is too long.
   */
  record Unavailable() implements Result {}

  static final Result ABSENT = new Absent();
  static final Result UNAVAILABLE = new Unavailable();

  /** What was read of one job; its dependencies are not considered. */
  private sealed interface ReadResult {
    /** A record of the job was decoded. */
    record Present(StoredJobState.Decoded job) implements ReadResult {}

    /** The store contains no record of the job. */
    record Missing() implements ReadResult {}

    /** The record can't be read or decoded. */
    record Failed() implements ReadResult {}
  }

  private final KeyValueStore store;
  private final JobRequestMetrics metrics;
  private final UnreadableRecordLog unreadableRecords = new UnreadableRecordLog();
  private final CoalescedLookups coalescedLookups = new CoalescedLookups(this::startSearch);

  /**
   * Creates a lookup that reads from the given store.
   *
   * @param metrics counts the reads that gave no state, by reason
   */
  public JobLookup(KeyValueStore store, JobRequestMetrics metrics) {
    this.store = store;
    this.metrics = metrics;
  }

  /**
   * Looks up a job. The callback may run on any thread, without the controller's lock. Concurrent
   * lookups of the same job share their reads.
   */
  void find(JobId id, RequestPriority priority, Consumer<Result> callback) {
    coalescedLookups.find(id, priority, callback);
  }

  private void startSearch(JobId id, RequestPriority priority, Consumer<Result> callback) {
    var unused =
        new Search(id, priority)
            .run()
            .exceptionally(error -> logAsUnavailable(id, error))
            .thenAccept(callback);
  }

  private static Result logAsUnavailable(JobId id, Throwable error) {
    LOG.error("lookup of job {} failed", id, error);
    return UNAVAILABLE;
  }

  /** One lookup: reads the job itself, then its dependencies sequentially. */
  private final class Search {
    private final JobId id;
    private final RequestPriority priority;
    private final Deque<JobId> unread = new ArrayDeque<>();
    private final Set<JobId> seen = new HashSet<>();
    private Found found;

    Search(JobId id, RequestPriority priority) {
      this.id = id;
      this.priority = priority;
    }

    CompletableFuture<Result> run() {
      return read(id).thenCompose(this::handleJob);
    }

    private CompletableFuture<Result> handleJob(ReadResult read) {
      if (read instanceof ReadResult.Present present) {
        StoredJobState.Decoded job = present.job();
        found = new Found(job.state(), job.service());
        addUnread(job.dependencies());
        return readNextDependency();
      }
      return completed(read instanceof ReadResult.Missing ? ABSENT : UNAVAILABLE);
    }

    private void addUnread(List<JobId> ids) {
      for (JobId dependency : ids) {
        if (seen.add(dependency)) {
          unread.add(dependency);
        }
      }
    }

    private CompletableFuture<Result> readNextDependency() {
      if (unread.isEmpty()) {
        return completed(found);
      }
      if (seen.size() > MAX_DEPENDENCY_READS) {
        return completed(UNAVAILABLE);
      }
      return read(unread.poll()).thenCompose(this::handleDependency);
    }

    private CompletableFuture<Result> handleDependency(ReadResult read) {
      if (!(read instanceof ReadResult.Present present)) {
        // A dependency was accepted before the job, so a read that finds none is not conclusive.
        return completed(UNAVAILABLE);
      }
      StoredJobState.Decoded dependency = present.job();
      if (dependency.state().phase() == JobState.Phase.CANCELLED) {
        JobState cancelled = new JobState(id, JobState.Phase.CANCELLED, 0, 0);
        return completed(new Found(cancelled, found.service()));
      }
      addUnread(dependency.dependencies());
      return readNextDependency();
    }

    /**
     * Reads the record of a job, then its end record. When a job ends, one transaction replaces the
     * former by the latter, so reading in this order can't miss the job.
     */
    private CompletableFuture<ReadResult> read(JobId job) {
      return readEntry(job, Keys.job(job), StoredJobState::ofRecord)
          .thenCompose(
              read ->
                  read instanceof ReadResult.Missing
                      ? readEntry(job, Keys.finalRecord(job), StoredJobState::ofFinalRecord)
                      : completed(read));
    }

    private CompletableFuture<ReadResult> readEntry(JobId job, String key, Decoder decoder) {
      return store
          .get(key, priority)
          .thenApply(
              outcome -> {
                if (outcome instanceof Outcome.Applied<KeyValueStore.ReadResult> applied) {
                  return decode(job, key, applied.value().entry(), decoder);
                }
                LOG.debug("lookup of job {} failed: {}", job, outcome);
                metrics.count(failureOf(outcome));
                return new ReadResult.Failed();
              });
    }
  }

  /** Decodes a kind of record. */
  @FunctionalInterface
  private interface Decoder {
    StoredJobState decode(JobId id, JsonNode value);
  }

  private ReadResult decode(JobId job, String key, Optional<Entry> entry, Decoder decoder) {
    if (entry.isEmpty()) {
      return new ReadResult.Missing();
    }
    StoredJobState state = decoder.decode(job, entry.get().value());
    if (state instanceof StoredJobState.Decoded decoded) {
      return new ReadResult.Present(decoded);
    }
    metrics.count(JobRequestMetrics.Event.RECORD_UNREADABLE);
    unreadableRecords.report(key, ((StoredJobState.Unreadable) state).reason());
    return new ReadResult.Failed();
  }

  private static <T> CompletableFuture<T> completed(T result) {
    return CompletableFuture.completedFuture(result);
  }

  private static JobRequestMetrics.Event failureOf(Outcome<?> outcome) {
    if (outcome.isNotApplied(Outcome.Reason.RATE_LIMITED)) {
      return JobRequestMetrics.Event.STORE_NO_TOKEN;
    }
    return outcome instanceof Outcome.NotApplied
        ? JobRequestMetrics.Event.STORE_REFUSED
        : JobRequestMetrics.Event.STORE_NO_RESPONSE;
  }
}
