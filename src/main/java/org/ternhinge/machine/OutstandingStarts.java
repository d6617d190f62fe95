package org.ternhinge.machine;

import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;

/**
 * Start commands sent directly to one worker whose answers are out or lost: such a start may still
 * arrive, so its attempt can't be taken for gone. A raised term fences them: a worker that has
 * shown it refuses them. Guarded by the controller's lock.
 */
public final class OutstandingStarts {
  private record Start(TaskId task, AttemptNumber attempt) {
    // By hand, as in the other small types of the model, for the speed of look-ups.
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

  private final Object2IntOpenHashMap<Start> counts = new Object2IntOpenHashMap<>();

  /** Those of a lower term than the fence. */
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

  /** Whether a start of this attempt is outstanding that the present fence will make harmless. */
  public boolean isFenced(TaskId task, AttemptNumber attempt) {
    return fenced.containsKey(new Start(task, attempt));
  }

  /** The term was raised: all starts so far are of a lower one. */
  public void fence(Term raised) {
    fenced.clear();
    fenced.putAll(counts);
    fence = raised;
  }

  /** The worker has shown a fencing token: from now on it refuses the starts of lower terms. */
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

  /** The worker's epoch has ended: nothing sent in it can have an effect any more. */
  public void clear() {
    counts.clear();
    fenced.clear();
  }
}
