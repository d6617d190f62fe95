package org.ternhinge.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.ternhinge.leadership.Leadership;
import org.ternhinge.leadership.LeadershipRole;
import org.ternhinge.ledger.Job;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.JobId;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.wire.DependencyCheckResult;
import org.ternhinge.wire.JobState;

/**
 * Checks the jobs that a submission depends on, each by a read of its current state. Jobs never
 * vanish, so the result still holds when the acceptance is written; a dependency that is cancelled
 * in between cancels the new job by the state of that dependency.
 */
public final class DependencyCheck {
  /** The result of a check. */
  sealed interface Result permits Passed, Rejected, Unavailable {}

  /** All dependencies exist and none is a service. */
  record Passed(DependencyCheckResult verdict) implements Result {}

  /**
   * The job can never run.
   *
   * @param reason the message for the user
   */
  record Rejected(String reason) implements Result {}

  /** The state of some dependency can't be read now. */
  record Unavailable() implements Result {}

  private final LeadershipRole role;
  private final JobLookup lookup;
  private final LockedExecutor locked;

  /**
   * Creates a check.
   *
   * @param role a valid leadership answers from memory, without reads of the key-value store
   * @param lock the controller's lock
   */
  public DependencyCheck(LeadershipRole role, JobLookup lookup, Lock lock) {
    this.role = role;
    this.lookup = lookup;
    this.locked = new LockedExecutor(lock);
  }

  /** Checks all of them, one after the other; the result comes under the controller's lock. */
  void check(List<JobId> dependencies, Consumer<Result> then) {
    checkNext(new ArrayDeque<>(dependencies), false, then);
  }

  private void checkNext(Deque<JobId> unchecked, boolean anyCancelled, Consumer<Result> then) {
    JobId next = unchecked.poll();
    if (next == null) {
      then.accept(new Passed(new DependencyCheckResult(anyCancelled)));
      return;
    }
    find(next, result -> checked(next, result, unchecked, anyCancelled, then));
  }

  private void checked(
      JobId id,
      JobLookup.Result result,
      Deque<JobId> unchecked,
      boolean anyCancelled,
      Consumer<Result> then) {
    if (result instanceof JobLookup.Found found && !found.service()) {
      boolean cancelled = found.state().phase() == JobState.Phase.CANCELLED;
      checkNext(unchecked, anyCancelled || cancelled, then);
    } else if (result instanceof JobLookup.Found) {
      then.accept(new Rejected(id + " is a service"));
    } else if (result instanceof JobLookup.Absent) {
      then.accept(new Rejected(id + " was never accepted"));
    } else {
      then.accept(new Unavailable());
    }
  }

  private void find(JobId id, Consumer<JobLookup.Result> then) {
    Optional<JobLookup.Result> inMemory =
        role.valid().flatMap(leadership -> findInMemory(leadership, id));
    if (inMemory.isPresent()) {
      then.accept(inMemory.get());
    } else {
      lookup.find(id, RequestPriority.ACCEPT, result -> locked.execute(() -> then.accept(result)));
    }
  }

  private static Optional<JobLookup.Result> findInMemory(Leadership leadership, JobId id) {
    Optional<Job> job = leadership.job(id);
    boolean service = job.isPresent() && job.get().spec().isService();
    return leadership.stateOf(id).map(state -> new JobLookup.Found(state, service));
  }
}
