package org.ternhinge.machine;

import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;

/**
 * Start commands sent directly to one worker that are unanswered, or whose answers were lost. Such
 * a start may still arrive, so its attempt must not be presumed gone. Raising the term fences them:
 * a worker refuses them once it has seen the higher term. Guarded by the controller's lock.
 */
public final class OutstandingStarts {
  private record Start(TaskId task, AttemptNumber attempt) {
    // Written out since look-ups by the generated methods are slower.
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

  /** Number of outstanding starts by attempt, of those with a lower term than the fence. */
  private final Object2IntOpenHashMap<Start> fenced = new Object2IntOpenHashMap<>();

  private Term fence = Term.NONE;

  /** A start is sent. */
  public void sent(TaskId task, AttemptNumber attempt) {
    counts.addTo(new Start(task, attempt), 1);
  }

  /** A start that was sent has certainly been carried out, or never will be. */
  public void settled(TaskId task, AttemptNumber attempt) {
    subtract(new Start(task, attempt), 1);
  }

  /** Whether a start of this attempt may still arrive. */
  public boolean mayArrive(TaskId task, AttemptNumber attempt) {
    return counts.containsKey(new Start(task, attempt));
  }

  /**
   * Whether an outstanding start of this attempt will be refused once the worker sees the fence.
   */
  public boolean isFenced(TaskId task, AttemptNumber attempt) {
    return fenced.containsKey(new Start(task, attempt));
  }

  /** The term was raised: all starts sent before carry a lower one. */
  public void fence(Term raised) {
    fenced.clear();
    fenced.putAll(counts);
    fence = raised;
  }

  /** The worker has seen a fencing token, and refuses starts with a lower term from now on. */
  public void observeFencingToken(Term shown) {
    if (fenced.isEmpty() || shown.compareTo(fence) < 0) {
      return;
    }
    for (Object2IntMap.Entry<Start> entry : fenced.object2IntEntrySet()) {
      subtract(entry.getKey(), entry.getIntValue());
    }
    fenced.clear();
  }

  private void subtract(Start start, int count) {
    if (counts.addTo(start, -count) <= count) {
      counts.removeInt(start);
    }
  }

  /** The worker's epoch has ended: starts sent in it can no longer have an effect. */
  public void clear() {
    counts.clear();
    fenced.clear();
  }
}
