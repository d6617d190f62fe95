package org.ternhinge.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.JobId;

/**
 * Coalesces concurrent lookups of the same job. At most one lookup of a job runs at a time;
 * requests that arrive meanwhile share the next one, which starts when the running one has ended.
 * They must not share the running one: it may have read the job's state before a change that the
 * requester already knows of. Thread-safe.
 *
 * <p>Each request gets exactly one result once its lookup ends, whatever the others do: a lookup
 * that throws ends with {@link JobLookup#UNAVAILABLE}, and a callback that throws affects neither
 * the other requests nor the next lookup.
 */
final class CoalescedLookups {
  private static final Logger LOG = LoggerFactory.getLogger(CoalescedLookups.class);

  /** Looks up a job. */
  @FunctionalInterface
  interface Lookup {
    /** Calls the callback with the result, immediately or later; further results are ignored. */
    void find(JobId id, RequestPriority priority, Consumer<JobLookup.Result> callback);
  }

  /** Requests that share one lookup. */
  private static final class Batch {
    private final List<Consumer<JobLookup.Result>> requests = new ArrayList<>();
    private RequestPriority priority = RequestPriority.QUERY;

    /** Adds a request; the batch has the most urgent priority of its requests. */
    void add(RequestPriority requested, Consumer<JobLookup.Result> callback) {
      requests.add(callback);
      priority = requested.compareTo(priority) < 0 ? requested : priority;
    }

    boolean isEmpty() {
      return requests.isEmpty();
    }

    void deliver(JobLookup.Result result) {
      for (Consumer<JobLookup.Result> request : requests) {
        AsyncCalls.runIsolated(() -> request.accept(result));
      }
    }
  }

  private final Lookup lookup;

  /** The requests that wait for the next lookup, for each job with a running lookup. */
  private final Map<JobId, Batch> nextBatchByJob = new HashMap<>();

  CoalescedLookups(Lookup lookup) {
    this.lookup = lookup;
  }

  /** Looks up a job; the callback is called exactly once, immediately or later, on any thread. */
  void find(JobId id, RequestPriority priority, Consumer<JobLookup.Result> callback) {
    Batch batch = new Batch();
    batch.add(priority, callback);
    synchronized (nextBatchByJob) {
      Batch next = nextBatchByJob.get(id);
      if (next != null) {
        next.add(priority, callback);
        return;
      }
      nextBatchByJob.put(id, new Batch());
    }
    runLookups(id, batch);
  }

  /**
   * Runs the lookups of one batch after another until none is waiting. A loop rather than
   * recursion, so that the stack does not grow while results are available immediately.
   */
  private void runLookups(JobId id, Batch first) {
    Batch batch = first;
    while (!batch.isEmpty()) {
      CompletableFuture<JobLookup.Result> result = startLookup(id, batch.priority);
      if (!result.isDone()) {
        Batch running = batch;
        var unused = result.thenAccept(later -> runLookups(id, completeBatch(id, running, later)));
        return;
      }
      batch = completeBatch(id, batch, result.join());
    }
  }

  private CompletableFuture<JobLookup.Result> startLookup(JobId id, RequestPriority priority) {
    CompletableFuture<JobLookup.Result> result = new CompletableFuture<>();
    try {
      lookup.find(id, priority, result::complete);
    } catch (RuntimeException e) {
      LOG.error("lookup of job {} failed", id, e);
      result.complete(JobLookup.UNAVAILABLE);
    }
    return result;
  }

  /**
   * Passes on the result of a lookup and returns the next batch, which is empty if none waits.
   * Requests made by the callbacks join the next batch.
   */
  private Batch completeBatch(JobId id, Batch completed, JobLookup.Result result) {
    completed.deliver(result);
    return takeNextBatch(id);
  }

  private Batch takeNextBatch(JobId id) {
    synchronized (nextBatchByJob) {
      Batch next = nextBatchByJob.remove(id);
      if (!next.isEmpty()) {
        nextBatchByJob.put(id, new Batch());
      }
      return next;
    }
  }
}
