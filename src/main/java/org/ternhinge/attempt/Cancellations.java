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
 * Cancels jobs on behalf of users. A request is answered only once the key-value store holds the
 * cancellation: an earlier answer could be contradicted by the next leader, which would run the
 * job. Guarded by the controller's lock.
 */
public final class Cancellations {
  private final Ledger ledger;
  private final AttemptLifecycle attempts;
  private final LedgerWriter writer;

  /** The requests whose cancellation is not durable yet, in order of arrival. */
  private final Map<Job, List<Consumer<JobState>>> pending = new LinkedHashMap<>();

  /** Creates the cancellations of one leadership, with none pending. */
  public Cancellations(Ledger ledger, AttemptLifecycle attempts, LedgerWriter writer) {
    this.ledger = ledger;
    this.attempts = attempts;
    this.writer = writer;
  }

  /**
   * Cancels a job that the ledger holds, and stops its attempts.
   *
   * @param listener gets the job's state once the key-value store holds it, and not before
   */
  public void cancel(Job job, Consumer<JobState> listener) {
    pending.computeIfAbsent(job, key -> new ArrayList<>()).add(listener);
    ledger.cancel(job);
    attempts.stopAll(job);
    writer.sendNext();
    answerDurable();
  }

  /** Answers the requests whose job's end has become durable. Called after each write. */
  public void answerDurable() {
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
