package org.ternhinge.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.JobId;

/**
 * Lets requests for the same job share a lookup. One lookup of a job is under way at a time; what
 * is asked meanwhile waits for the next one, which begins when the first has ended. It must not
 * share the one under way: that may have been read before the job's state changed, and its user may
 * have been told of the change before asking. Safe for use by several threads.
 */
final class SharedLookups {
  /** Looks a job up. */
  @FunctionalInterface
  interface Lookup {
    /** Gives the result now or later, exactly once. */
    void find(JobId id, RequestPriority priority, Consumer<JobLookup.Result> then);
  }

  /** Requests that share the lookup after the one under way. */
  private static final class Waiting {
    private final List<Consumer<JobLookup.Result>> requests = new ArrayList<>();
    private RequestPriority priority = RequestPriority.QUERY;

    void add(RequestPriority wanted, Consumer<JobLookup.Result> then) {
      requests.add(then);
      priority = wanted.compareTo(priority) < 0 ? wanted : priority;
    }
  }

  private final Lookup lookup;

  /** For each job with a lookup under way, who waits for the next one. */
  private final Map<JobId, Waiting> waitingByJob = new HashMap<>();

  SharedLookups(Lookup lookup) {
    this.lookup = lookup;
  }

  void find(JobId id, RequestPriority priority, Consumer<JobLookup.Result> then) {
    synchronized (waitingByJob) {
      Waiting waiting = waitingByJob.get(id);
      if (waiting != null) {
        waiting.add(priority, then);
        return;
      }
      waitingByJob.put(id, new Waiting());
    }
    lookup.find(id, priority, result -> found(id, List.of(then), result));
  }

  private void found(JobId id, List<Consumer<JobLookup.Result>> requests, JobLookup.Result result) {
    Waiting next;
    synchronized (waitingByJob) {
      next = waitingByJob.get(id);
      if (next.requests.isEmpty()) {
        waitingByJob.remove(id);
      } else {
        waitingByJob.put(id, new Waiting());
      }
    }
    requests.forEach(request -> request.accept(result));
    if (!next.requests.isEmpty()) {
      lookup.find(id, next.priority, answer -> found(id, next.requests, answer));
    }
  }
}
