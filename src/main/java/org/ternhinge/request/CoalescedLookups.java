package org.ternhinge.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.JobId;

/**
 * Coalesces concurrent lookups of the same job. At most one lookup of a job runs at a time;
 * requests that arrive meanwhile share the next one, which starts when the running one has ended.
 * They must not share the running one: it may have read the job's state before a change that the
 * requester already knows of. Thread-safe.
 */
final class CoalescedLookups {
  /** Looks up a job. */
  @FunctionalInterface
  interface Lookup {
    /** Calls the callback with the result exactly once, immediately or later. */
    void find(JobId id, RequestPriority priority, Consumer<JobLookup.Result> callback);
  }

  /** Requests that share the lookup that follows the running one. */
  private static final class Batch {
    private final List<Consumer<JobLookup.Result>> requests = new ArrayList<>();
    private RequestPriority priority = RequestPriority.QUERY;

    /** Adds a request; the batch has the most urgent priority of its requests. */
    void add(RequestPriority requested, Consumer<JobLookup.Result> callback) {
      requests.add(callback);
      priority = requested.compareTo(priority) < 0 ? requested : priority;
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
    synchronized (nextBatchByJob) {
      Batch next = nextBatchByJob.get(id);
      if (next != null) {
        next.add(priority, callback);
        return;
      }
      nextBatchByJob.put(id, new Batch());
    }
    lookup.find(id, priority, result -> handleResult(id, List.of(callback), result));
  }

  private void handleResult(
      JobId id, List<Consumer<JobLookup.Result>> requests, JobLookup.Result result) {
    Batch next;
    synchronized (nextBatchByJob) {
      next = nextBatchByJob.get(id);
      if (next.requests.isEmpty()) {
        nextBatchByJob.remove(id);
      } else {
        nextBatchByJob.put(id, new Batch());
      }
    }
    requests.forEach(request -> request.accept(result));
    if (!next.requests.isEmpty()) {
      lookup.find(id, next.priority, nextResult -> handleResult(id, next.requests, nextResult));
    }
  }
}
