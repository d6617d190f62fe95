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
 * Cancels jobs for users. A user is told only what the key-value store holds: an answer before that
 * could be contradicted by the next leader, which would run the job on. Guarded by the controller's
 * lock.
 */
public final class Cancellations {
  private final Ledger ledger;
  private final AttemptLifecycle attempts;
  private final LedgerWriter writer;

  /** Who waits for the cancellation of a job to be durable. */
  private final Map<Job, List<Consumer<JobState>>> waiting = new LinkedHashMap<>();

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
    waiting.computeIfAbsent(job, key -> new ArrayList<>()).add(listener);
    ledger.cancel(job);
    attempts.stopAll(job);
    writer.pump();
    answerDurable();
  }

  /** Answers those whose job's fate the key-value store now holds; called after each write. */
  public void answerDurable() {
    Iterator<Map.Entry<Job, List<Consumer<JobState>>>> entries = waiting.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Job, List<Consumer<JobState>>> entry = entries.next();
      Job job = entry.getKey();
      if (job.cancelDurable() || job.finalDurable()) {
        JobState state = durableState(job);
        entry.getValue().forEach(listener -> listener.accept(state));
        entries.remove();
      }
    }
  }

  private JobState durableState(Job job) {
    JobState ended = ledger.ended(job.spec().id());
    return ended != null ? ended : Ledger.stateOf(job);
  }
}
