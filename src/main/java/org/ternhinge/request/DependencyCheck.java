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
import org.ternhinge.wire.DependencyVerdict;
import org.ternhinge.wire.JobState;

/**
 * Looks at the jobs that a submission depends on, each by a fresh look. Jobs never vanish, so what
 * is found still holds when the acceptance is written; and what becomes of them in between, the new
 * job's own state follows.
 */
public final class DependencyCheck {
  /** What a check comes to. */
  sealed interface Result permits Passed, Refused, Unavailable {}

  /** All dependencies may be depended on. */
  record Passed(DependencyVerdict verdict) implements Result {}

  /**
   * The job can never run.
   *
   * @param reason what the user is told
   */
  record Refused(String reason) implements Result {}

  /** Some dependency can't be looked at now. */
  record Unavailable() implements Result {}

  private final LeadershipRole role;
  private final JobLookup lookup;
  private final LockedExecutor locked;

  public DependencyCheck(LeadershipRole role, JobLookup lookup, Lock lock) {
    this.role = role;
    this.lookup = lookup;
    this.locked = new LockedExecutor(lock);
  }

  /** Checks all of them; the result comes under the controller's lock. */
  void check(List<JobId> dependencies, Consumer<Result> then) {
    checkNext(new ArrayDeque<>(dependencies), false, then);
  }

  private void checkNext(Deque<JobId> unchecked, boolean cancelled, Consumer<Result> then) {
    JobId next = unchecked.poll();
    if (next == null) {
      then.accept(new Passed(new DependencyVerdict(cancelled)));
      return;
    }
    find(next, found -> checked(next, found, unchecked, cancelled, then));
  }

  private void checked(
      JobId id,
      JobLookup.Result result,
      Deque<JobId> unchecked,
      boolean cancelledBefore,
      Consumer<Result> then) {
    if (result instanceof JobLookup.Found found && !found.service()) {
      boolean cancelled = found.state().phase() == JobState.Phase.CANCELLED;
      checkNext(unchecked, cancelledBefore || cancelled, then);
    } else if (result instanceof JobLookup.Found) {
      then.accept(new Refused(id + " is a service"));
    } else if (result instanceof JobLookup.Absent) {
      then.accept(new Refused(id + " was never accepted"));
    } else {
      then.accept(new Unavailable());
    }
  }

  private void find(JobId id, Consumer<JobLookup.Result> then) {
    Optional<Leadership> leadership = role.valid();
    JobState known = leadership.map(leading -> leading.stateOf(id)).orElse(null);
    if (known == null) {
      lookup.find(id, RequestPriority.ACCEPT, result -> locked.execute(() -> then.accept(result)));
      return;
    }
    Job job = leadership.get().job(id);
    then.accept(new JobLookup.Found(known, job != null && job.spec().isService()));
  }
}
