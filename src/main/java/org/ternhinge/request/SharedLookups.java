package org.ternhinge.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.JobId;

/**
 * Coalesces concurrent lookups of the same job. One lookup of a job runs at a time; requests that
 * arrive meanwhile share the next one, which begins when the first has ended. They must not share
 * the running one: it may have been read before the job's state changed, and its user may know of
 * the change before asking. Safe for use by several threads.
 */
final class SharedLookups {
  /** Looks a job up. */
  @FunctionalInterface
  interface Lookup {
    /** Gives the result now or later, exactly once. */
    void find(JobId id, RequestPriority priority, Consumer<JobLookup.Result> then);
  }

  /** Requests that share the lookup after the running one. */
  private static final class Batch {
    private final List<Consumer<JobLookup.Result>> requests = new ArrayList<>();
    private RequestPriority priority = RequestPriority.QUERY;

    /** Adds a request; the most urgent priority of the batch applies to all. */
    void add(RequestPriority requested, Consumer<JobLookup.Result> then) {
      requests.add(then);
      priority = requested.compareTo(priority) < 0 ? requested : priority;
    }
  }

  private final Lookup lookup;

  /** For each job with a running lookup, the requests that wait for the next one. */
  private final Map<JobId, Batch> nextByJob = new HashMap<>();

  SharedLookups(Lookup lookup) {
    this.lookup = lookup;
  }

  /** Looks a job up; the result comes now or later, exactly once, on any thread. */
  void find(JobId id, RequestPriority priority, Consumer<JobLookup.Result> then) {
    synchronized (nextByJob) {
      Batch next = nextByJob.get(id);
      if (next != null) {
        next.add(priority, then);
        return;
      }
      nextByJob.put(id, new Batch());
    }
    lookup.find(id, priority, result -> found(id, List.of(then), result));
  }

  private void found(JobId id, List<Consumer<JobLookup.Result>> requests, JobLookup.Result result) {
    Batch next;
    synchronized (nextByJob) {
      next = nextByJob.get(id);
      if (next.requests.isEmpty()) {
        nextByJob.remove(id);
      } else {
        nextByJob.put(id, new Batch());
      }
    }
    requests.forEach(request -> request.accept(result));
    if (!next.requests.isEmpty()) {
      lookup.find(id, next.priority, answer -> found(id, next.requests, answer));
    }
  }
}
