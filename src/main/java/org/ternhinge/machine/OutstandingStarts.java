package org.ternhinge.machine;

import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;

/**
 * Direct start commands to one worker that are unanswered or whose answers were lost. Such a start
 * may still arrive, so its attempt must not be presumed gone. Raising the term fences them: a
 * worker rejects starts with a lower term once it has seen the higher one. Guarded by the
 * controller's lock.
 */
public final class OutstandingStarts {
  private record Start(TaskId task, AttemptNumber attempt) {
    // Faster in look-ups than the methods that the compiler generates for records.
    @Override
    public boolean equals(Object other) {
      return other instanceof Start start
          && start.attempt.equals(attempt)
          && start.task.equals(task);
    }

    @Override
    public int hashCode() {
      return 31 * task.hashCode() + attempt.hashCode();
    }
  }

  /** Number of outstanding starts by attempt. */
  private final Object2IntOpenHashMap<Start> counts = new Object2IntOpenHashMap<>();

  /** Number of outstanding starts by attempt, restricted to terms below the fence. */
  private final Object2IntOpenHashMap<Start> fencedCounts = new Object2IntOpenHashMap<>();

  private Term fence = Term.NONE;

  /** Records that a start was sent. */
  public void recordSent(TaskId task, AttemptNumber attempt) {
    counts.addTo(new Start(task, attempt), 1);
  }

  /** Records that a start was applied or can no longer be applied. */
  public void settle(TaskId task, AttemptNumber attempt) {
    subtract(new Start(task, attempt), 1);
  }

  /** Returns whether a start of an attempt may still arrive. */
  public boolean mayArrive(TaskId task, AttemptNumber attempt) {
    return counts.containsKey(new Start(task, attempt));
  }

  /**
   * Returns whether an outstanding start of an attempt will be rejected once the worker has seen
   * the fence.
   */
  public boolean isFenced(TaskId task, AttemptNumber attempt) {
    return fencedCounts.containsKey(new Start(task, attempt));
  }

  /** Fences all outstanding starts after the term was raised above theirs. */
  public void fence(Term newTerm) {
    fencedCounts.clear();
    fencedCounts.putAll(counts);
    fence = newTerm;
  }

  /**
   * Records a fencing token that the worker has seen; it rejects starts with lower terms from now
   * on.
   */
  public void observeFencingToken(Term token) {
    if (fencedCounts.isEmpty() || token.compareTo(fence) < 0) {
      return;
    }
    for (Object2IntMap.Entry<Start> entry : fencedCounts.object2IntEntrySet()) {
      subtract(entry.getKey(), entry.getIntValue());
    }
    fencedCounts.clear();
  }

  private void subtract(Start start, int count) {
    if (counts.addTo(start, -count) <= count) {
      counts.removeInt(start);
    }
  }

  /**
   * Discards all starts after the end of the worker's epoch, since they can no longer have an
   * effect.
   */
  public void clear() {
    counts.clear();
    fencedCounts.clear();
  }
}
