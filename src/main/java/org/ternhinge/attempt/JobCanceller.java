package org.ternhinge.attempt;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.wire.JobState;

/**
 * Cancels jobs at the request of users. A request is completed only when the cancellation is
 * durable in the key-value store. Otherwise, the next leader might not know of a confirmed
 * cancellation and would run the job. Guarded by the controller's lock.
 */
public final class JobCanceller {
  private final Ledger ledger;
  private final AttemptLifecycle attempts;
  private final LedgerWriter writer;

  /** Listeners of requests whose cancellation is not durable yet, in order of arrival. */
  private final Map<Job, List<Consumer<JobState>>> pending = new LinkedHashMap<>();

  /** Creates a canceller for the jobs of one leadership term. */
  public JobCanceller(Ledger ledger, AttemptLifecycle attempts, LedgerWriter writer) {
    this.ledger = ledger;
    this.attempts = attempts;
    this.writer = writer;
  }

  /**
   * Cancels a job of the ledger and stops its attempts.
   *
   * @param listener receives the job's state once that state is durable in the key-value store
   */
  public void cancel(Job job, Consumer<JobState> listener) {
    pending.computeIfAbsent(job, key -> new ArrayList<>()).add(listener);
    ledger.cancel(job);
    attempts.stopAll(job);
    writer.sendNext();
    completeDurable();
  }

  /** Completes the requests whose cancellation has become durable. Called after each write. */
  public void completeDurable() {
    Iterator<Map.Entry<Job, List<Consumer<JobState>>>> entries = pending.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Job, List<Consumer<JobState>>> entry = entries.next();
      Job job = entry.getKey();
      if (isEndDurable(job)) {
        JobState state = durableState(job);
        entry.getValue().forEach(listener -> listener.accept(state));
        entries.remove();
      }
    }
  }

  private static boolean isEndDurable(Job job) {
    return job.isCancellationDurable() || job.isFinalRecordDurable();
  }

  private JobState durableState(Job job) {
    return ledger.findFinalState(job.spec().id()).orElseGet(job::state);
  }
}
