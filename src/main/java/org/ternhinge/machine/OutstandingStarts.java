package org.ternhinge.machine;

import java.util.HashMap;
import java.util.Map;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;

/**
 * Direct start commands to one worker that it may still execute, for the first time or again. The
 * network may deliver a message more than once, so a response does not settle the starts in it.
 * They are settled when the worker has seen a higher fencing token than they carry, or when its
 * epoch ends. Guarded by the controller's lock.
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

  /** The number of messages that contain a start, and the highest fencing token among them. */
  private record Messages(int count, Term highestToken) {
    Messages plus(Messages other) {
      return new Messages(count + other.count, highestToken.max(other.highestToken));
    }

    Messages withoutOne() {
      return count == 1 ? null : new Messages(count - 1, highestToken);
    }
  }

  private final Map<Start, Messages> starts = new HashMap<>();
  private Term observedToken = Term.NONE;

  /** Records that a start was sent with a fencing token. */
  public void recordSent(TaskId task, AttemptNumber attempt, Term token) {
    starts.merge(new Start(task, attempt), new Messages(1, token), Messages::plus);
  }

  /** Records that a message with a start was refused, or was not delivered and never will be. */
  public void settle(TaskId task, AttemptNumber attempt) {
    starts.computeIfPresent(new Start(task, attempt), (start, sent) -> sent.withoutOne());
  }

  /** Returns whether the worker may still execute a start of an attempt. */
  public boolean mayBeExecuted(TaskId task, AttemptNumber attempt) {
    return starts.containsKey(new Start(task, attempt));
  }

  /** Returns whether a worker that has seen a fencing token rejects all starts of an attempt. */
  public boolean isFencedBy(Term token, TaskId task, AttemptNumber attempt) {
    Messages sent = starts.get(new Start(task, attempt));
    return sent == null || sent.highestToken().compareTo(token) < 0;
  }

  /** Records a fencing token that the worker has seen; it rejects starts with lower ones. */
  public void observeFencingToken(Term token) {
    if (token.compareTo(observedToken) <= 0) {
      return;
    }
    observedToken = token;
    starts.values().removeIf(sent -> sent.highestToken().compareTo(token) < 0);
  }

  /**
   * Discards all starts after the end of the worker's epoch, since they can no longer have an
   * effect.
   */
  public void clear() {
    starts.clear();
  }
}
