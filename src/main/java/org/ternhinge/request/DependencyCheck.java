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
 * Checks the jobs on which a submission depends by reading the current state of each. Jobs are
 * never deleted, so the result remains valid until the job is written. If a dependency is cancelled
 * in between, the new job counts as cancelled because of the state of that dependency.
 */
public final class DependencyCheck {
  /** The result of a check. */
  sealed interface Result permits Passed, Rejected, Unavailable {}

  /** All dependencies exist and none is a service. */
  record Passed(DependencyCheckResult verdict) implements Result {}

  /**
   * The job is rejected, since it could never run.
   *
   * @param reason the message for the user
   */
  record Rejected(String reason) implements Result {}

  /** The state of a dependency can't be read now. */
  record Unavailable() implements Result {}

  private final LeadershipRole role;
  private final JobLookup lookup;
  private final LockedExecutor lockedExecutor;

  /**
   * Creates a check.
   *
   * @param role provides this node's leadership; while it is valid, states are taken from memory
   *     without reads of the key-value store
   * @param lock the controller's lock
   */
  public DependencyCheck(LeadershipRole role, JobLookup lookup, Lock lock) {
    this.role = role;
    this.lookup = lookup;
    this.lockedExecutor = new LockedExecutor(lock);
  }

  /** Checks all dependencies sequentially and passes on the result under the controller's lock. */
  void check(List<JobId> dependencies, Consumer<Result> callback) {
    checkNext(new ArrayDeque<>(dependencies), false, callback);
  }

  private void checkNext(Deque<JobId> unchecked, boolean anyCancelled, Consumer<Result> callback) {
    JobId next = unchecked.poll();
    if (next == null) {
      callback.accept(new Passed(new DependencyCheckResult(anyCancelled)));
      return;
    }
    lookUp(next, result -> handleLookupResult(next, result, unchecked, anyCancelled, callback));
  }

  private void handleLookupResult(
      JobId id,
      JobLookup.Result result,
      Deque<JobId> unchecked,
      boolean anyCancelled,
      Consumer<Result> callback) {
    if (result instanceof JobLookup.Found found && !found.service()) {
      boolean cancelled = found.state().phase() == JobState.Phase.CANCELLED;
      checkNext(unchecked, anyCancelled || cancelled, callback);
    } else if (result instanceof JobLookup.Found) {
      callback.accept(new Rejected(id + " is a service"));
    } else if (result instanceof JobLookup.Absent) {
      callback.accept(new Rejected(id + " was never accepted"));
    } else {
      callback.accept(new Unavailable());
    }
  }

  private void lookUp(JobId id, Consumer<JobLookup.Result> callback) {
    Optional<JobLookup.Result> inMemory =
        role.valid().flatMap(leadership -> findInMemory(leadership, id));
    if (inMemory.isPresent()) {
      callback.accept(inMemory.get());
    } else {
      lookup.find(
          id,
          RequestPriority.ACCEPT,
          result -> lockedExecutor.execute(() -> callback.accept(result)));
    }
  }

  private static Optional<JobLookup.Result> findInMemory(Leadership leadership, JobId id) {
    Optional<Job> job = leadership.findJob(id);
    boolean service = job.isPresent() && job.get().spec().isService();
    return leadership.findState(id).map(state -> new JobLookup.Found(state, service));
  }
}
