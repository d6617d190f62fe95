package org.ternhinge.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.RecordCodec;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.metrics.JobRequestMetrics;
import org.ternhinge.model.AsyncCalls;
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

  /** The key-value store can't be read now, or the chain of dependencies is too long. */
  record Unavailable() implements Result {}

  static final Result ABSENT = new Absent();
  static final Result UNAVAILABLE = new Unavailable();

  /**
   * A job according to its record or its end record, regardless of the state of its dependencies.
   */
  private record StoredJob(Found found, List<JobId> dependencies) {}

  private final KeyValueStore store;
  private final JobRequestMetrics metrics;
  private final CoalescedLookups coalescedLookups = new CoalescedLookups(this::startSearch);

  /**
   * Creates a lookup that reads from the given store.
   *
   * @param metrics counts the reads that failed, by reason
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
    new Search(id, priority, callback).start();
  }

  /** One lookup: reads the job itself, then its dependencies sequentially. */
  private final class Search {
    private final JobId id;
    private final RequestPriority priority;
    private final Consumer<Result> callback;
    private final Deque<JobId> unread = new ArrayDeque<>();
    private final Set<JobId> seen = new HashSet<>();
    private Found found;

    Search(JobId id, RequestPriority priority, Consumer<Result> callback) {
      this.id = id;
      this.priority = priority;
      this.callback = callback;
    }

    void start() {
      read(id, this::handleJob, () -> callback.accept(ABSENT));
    }

    private void handleJob(StoredJob job) {
      found = job.found();
      addUnread(job.dependencies());
      readNextDependency();
    }

    private void addUnread(List<JobId> ids) {
      for (JobId dependency : ids) {
        if (seen.add(dependency)) {
          unread.add(dependency);
        }
      }
    }

    private void readNextDependency() {
      if (unread.isEmpty()) {
        callback.accept(found);
      } else if (seen.size() > MAX_DEPENDENCY_READS) {
        callback.accept(UNAVAILABLE);
      } else {
        // A dependency was accepted before the job, so a read that finds none is not conclusive.
        read(unread.poll(), this::handleDependency, () -> callback.accept(UNAVAILABLE));
      }
    }

    private void handleDependency(StoredJob dependency) {
      if (dependency.found().state().phase() == JobState.Phase.CANCELLED) {
        JobState cancelled = new JobState(id, JobState.Phase.CANCELLED, 0, 0);
        callback.accept(new Found(cancelled, found.service()));
        return;
      }
      addUnread(dependency.dependencies());
      readNextDependency();
    }

    /**
     * Reads the record of a job, then its end record. When a job ends, one transaction replaces the
     * former by the latter, so reading in this order can't miss the job.
     */
    private void read(JobId job, Consumer<StoredJob> present, Runnable absent) {
      readEntry(
          job,
          Keys.job(job),
          entry -> present.accept(fromRecord(job, entry)),
          () ->
              readEntry(
                  job,
                  Keys.finalRecord(job),
                  entry -> present.accept(fromEnd(job, entry)),
                  absent));
    }

    private void readEntry(JobId job, String key, Consumer<Entry> present, Runnable absent) {
      AsyncCalls.whenComplete(
          store.get(key, priority), outcome -> handleReadOutcome(job, outcome, present, absent));
    }

    private void handleReadOutcome(
        JobId job,
        Outcome<KeyValueStore.ReadResult> outcome,
        Consumer<Entry> present,
        Runnable absent) {
      if (outcome instanceof Outcome.Applied<KeyValueStore.ReadResult> read) {
        read.value().entry().ifPresentOrElse(present, absent);
      } else {
        LOG.debug("lookup of job {} failed: {}", job, outcome);
        metrics.count(failureOf(outcome));
        callback.accept(UNAVAILABLE);
      }
    }
  }

  private static JobRequestMetrics.Event failureOf(Outcome<?> outcome) {
    if (outcome.isNotApplied(Outcome.Reason.RATE_LIMITED)) {
      return JobRequestMetrics.Event.STORE_NO_TOKEN;
    }
    return outcome instanceof Outcome.NotApplied
        ? JobRequestMetrics.Event.STORE_REFUSED
        : JobRequestMetrics.Event.STORE_NO_RESPONSE;
  }

  private static StoredJob fromRecord(JobId id, Entry entry) {
    JobState state = RecordCodec.decodeState(id, entry.value());
    boolean service = RecordCodec.isService(entry.value());
    return new StoredJob(
        new Found(state, service), RecordCodec.unstartedDependencies(entry.value()));
  }

  private static StoredJob fromEnd(JobId id, Entry entry) {
    return new StoredJob(
        new Found(RecordCodec.decodeFinalRecord(id, entry.value()), false), List.of());
  }
}
