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
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Outcome;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.wire.JobState;

/**
 * Reads a job's state from the key-value store, which any node may do. A job is cancelled as soon
 * as one of its direct or indirect dependencies is, whatever its own record still says, so the
 * dependencies are read too; where they can't be read, the state is unavailable.
 */
public final class JobLookup {
  private static final Logger LOG = LoggerFactory.getLogger(JobLookup.class);

  /** Dependencies that are read for one lookup; the leader has longer chains in memory. */
  private static final int MAX_DEPENDENCY_READS = 64;

  /** The result of a lookup. */
  sealed interface Result permits Found, Absent, Unavailable {}

  /**
   * The job exists.
   *
   * @param state the state that users see
   * @param service whether it is known to be a service; the record of an ended job does not say
   */
  record Found(JobState state, boolean service) implements Result {}

  /** No such job was ever accepted. */
  record Absent() implements Result {}

  /** The key-value store can't be asked now, or the chain of dependencies is too long to read. */
  record Unavailable() implements Result {}

  static final Result ABSENT = new Absent();
  static final Result UNAVAILABLE = new Unavailable();

  /** One job as its record or its end says, regardless of the state of its dependencies. */
  private record StoredJob(Found found, List<JobId> dependencies) {}

  private final KeyValueStore store;
  private final SharedLookups shared = new SharedLookups(this::search);

  /** Creates a lookup without running reads. */
  public JobLookup(KeyValueStore store) {
    this.store = store;
  }

  /**
   * Finds a job; the result may come on any thread, without the controller's lock. Concurrent
   * lookups of the same job share their reads.
   */
  void find(JobId id, RequestPriority priority, Consumer<Result> then) {
    shared.find(id, priority, then);
  }

  private void search(JobId id, RequestPriority priority, Consumer<Result> then) {
    new Search(id, priority, then).start();
  }

  /** One lookup: the job itself, then its dependencies one after the other. */
  private final class Search {
    private final JobId id;
    private final RequestPriority priority;
    private final Consumer<Result> then;
    private final Deque<JobId> unread = new ArrayDeque<>();
    private final Set<JobId> seen = new HashSet<>();
    private Found found;

    Search(JobId id, RequestPriority priority, Consumer<Result> then) {
      this.id = id;
      this.priority = priority;
      this.then = then;
    }

    void start() {
      read(id, this::jobRead, () -> then.accept(ABSENT));
    }

    private void jobRead(StoredJob job) {
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
        then.accept(found);
      } else if (seen.size() > MAX_DEPENDENCY_READS) {
        then.accept(UNAVAILABLE);
      } else {
        // A dependency was accepted before the job, so that it is absent can't be the truth.
        read(unread.poll(), this::dependencyRead, () -> then.accept(UNAVAILABLE));
      }
    }

    private void dependencyRead(StoredJob dependency) {
      if (dependency.found().state().phase() == JobState.Phase.CANCELLED) {
        JobState cancelled = new JobState(id, JobState.Phase.CANCELLED, 0, 0);
        then.accept(new Found(cancelled, found.service()));
        return;
      }
      addUnread(dependency.dependencies());
      readNextDependency();
    }

    /**
     * Reads the record of a job, then its end. A job moves from the one to the other in one
     * compare-and-swap, so reading in this order can't miss it.
     */
    private void read(JobId job, Consumer<StoredJob> present, Runnable absent) {
      readEntry(
          job,
          Keys.job(job),
          entry -> present.accept(fromRecord(job, entry)),
          () ->
              readEntry(job, Keys.end(job), entry -> present.accept(fromEnd(job, entry)), absent));
    }

    private void readEntry(JobId job, String key, Consumer<Entry> present, Runnable absent) {
      AsyncCalls.whenComplete(
          store.get(key, priority), outcome -> entryRead(job, outcome, present, absent));
    }

    private void entryRead(
        JobId job,
        Outcome<KeyValueStore.ReadResult> outcome,
        Consumer<Entry> present,
        Runnable absent) {
      if (outcome instanceof Outcome.Applied<KeyValueStore.ReadResult> read) {
        read.value().entry().ifPresentOrElse(present, absent);
      } else {
        LOG.debug("{} can't be looked up: {}", job, outcome);
        then.accept(UNAVAILABLE);
      }
    }
  }

  private static StoredJob fromRecord(JobId id, Entry entry) {
    JobState state = RecordCodec.decodeState(id, entry.value());
    boolean service = RecordCodec.isService(entry.value());
    return new StoredJob(
        new Found(state, service), RecordCodec.unstartedDependencies(entry.value()));
  }

  private static StoredJob fromEnd(JobId id, Entry entry) {
    return new StoredJob(new Found(RecordCodec.decodeEnd(id, entry.value()), false), List.of());
  }
}
