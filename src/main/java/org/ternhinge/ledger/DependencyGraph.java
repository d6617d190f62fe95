package org.ternhinge.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.Priority;

/**
 * The graph of dependencies between jobs. The state of a dependent job is derived from durable
 * records alone: it is cancelled as soon as the cancellation of a direct or transitive dependency
 * is durable, and it may start once the completion of all its dependencies is durable. Its own
 * record is written later, as the write limits allow; a new leader derives the same state.
 */
public final class DependencyGraph {
  private final Ledger ledger;
  private final Clock clock;

  /** Jobs that have not started, by each of their unmet dependencies. */
  private final Map<JobId, Set<Job>> dependents = new HashMap<>();

  /** Dependencies that are neither in the ledger nor known to have ended, still to be looked up. */
  private final LinkedHashSet<JobId> unresolved = new LinkedHashSet<>();

  /** Jobs whose planned priority was raised since the last {@link #drainRaised}. */
  private final List<Job> raised = new ArrayList<>();

  /** Whether a job became ready since the last {@link #drainReady}. */
  private boolean jobBecameReady;

  DependencyGraph(Ledger ledger, Clock clock) {
    this.ledger = ledger;
    this.clock = clock;
  }

  // ---- adding jobs ----------------------------------------------------------------------------

  /** Adds a new job of the ledger. */
  void add(Job job) {
    JobId id = job.spec().id();
    unresolved.remove(id);
    if (!job.spec().dependencies().isEmpty() && !job.hasStarted() && !job.isCancelled()) {
      linkDependencies(job);
    }
    for (Job dependent : dependents.getOrDefault(id, Set.of())) {
      raisePriority(job, dependent.plannedSpec().priority());
    }
    if (job.isCancellationDurable()) {
      cancelDependents(id);
    }
  }

  private void linkDependencies(Job job) {
    boolean cancelled = false;
    for (JobId id : job.spec().dependencies()) {
      Job dependency = ledger.job(id);
      if (dependency != null) {
        cancelled |= dependency.isCancellationDurable();
        link(job, id);
        raisePriority(dependency, job.plannedSpec().priority());
        continue;
      }
      Optional<JobState> end = ledger.findFinalState(id);
      if (end.isPresent()) {
        cancelled |= end.get().phase() == JobState.Phase.CANCELLED;
      } else {
        link(job, id);
        unresolved.add(id);
      }
    }
    if (cancelled) {
      cancel(List.of(job));
    }
  }

  private void link(Job job, JobId dependency) {
    job.unmetDependencies().add(dependency);
    dependents.computeIfAbsent(dependency, id -> new LinkedHashSet<>()).add(job);
  }

  /** Removes all edges from a job to its dependencies. */
  private void unlink(Job job) {
    for (JobId id : job.unmetDependencies()) {
      Set<Job> others = dependents.get(id);
      if (others != null && others.remove(job) && others.isEmpty()) {
        dependents.remove(id);
        unresolved.remove(id);
      }
    }
    job.unmetDependencies().clear();
  }

  /** Propagates a priority to a job and to its direct and transitive dependencies. */
  private void raisePriority(Job job, Priority priority) {
    Deque<Job> pending = new ArrayDeque<>(List.of(job));
    while (!pending.isEmpty()) {
      Job next = pending.poll();
      if (next.raisePriority(priority)) {
        raised.add(next);
        for (JobId id : next.unmetDependencies()) {
          Job dependency = ledger.job(id);
          if (dependency != null) {
            pending.add(dependency);
          }
        }
      }
    }
  }

  // ---- cancellations and ends -----------------------------------------------------------------

  /** Cancels all direct and transitive dependents of a job whose cancellation is durable. */
  void cancelDependents(JobId id) {
    cancel(dependents.getOrDefault(id, Set.of()));
  }

  private void cancel(Collection<Job> jobs) {
    Deque<Job> pending = new ArrayDeque<>(jobs);
    while (!pending.isEmpty()) {
      Job job = pending.poll();
      if (job.isCancelledByDependency() || job.hasStarted()) {
        continue;
      }
      unlink(job);
      if (!job.isCancellationDurable()) {
        ledger.cancelByDependency(job);
      }
      pending.addAll(dependents.getOrDefault(job.spec().id(), Set.of()));
    }
  }

  /** Updates the dependents of a job whose final record is durable. */
  void markEnded(JobState state) {
    unresolved.remove(state.id());
    if (state.phase() == JobState.Phase.CANCELLED) {
      cancelDependents(state.id());
      return;
    }
    Set<Job> waiting = dependents.remove(state.id());
    if (waiting == null) {
      return;
    }
    for (Job job : waiting) {
      job.unmetDependencies().remove(state.id());
      if (!job.hasUnmetDependencies()) {
        job.setReadyMillis(Math.max(job.acceptedMillis(), clock.wallClockMillis()));
        jobBecameReady = true;
      }
    }
  }

  // ---- queries of the leadership --------------------------------------------------------------

  /** Whether a job became ready to start since the last call. */
  public boolean drainReady() {
    boolean ready = jobBecameReady;
    jobBecameReady = false;
    return ready;
  }

  /** Returns the jobs whose planned priority was raised since the last call. */
  public List<Job> drainRaised() {
    List<Job> drained = List.copyOf(raised);
    raised.clear();
    return drained;
  }

  /** Removes and returns a dependency whose final state must be read from the key-value store. */
  public Optional<JobId> pollUnresolved() {
    Iterator<JobId> ids = unresolved.iterator();
    if (!ids.hasNext()) {
      return Optional.empty();
    }
    JobId id = ids.next();
    ids.remove();
    return Optional.of(id);
  }

  /** Re-queues a dependency whose final state could not be read, if it is still needed. */
  public void retryUnresolved(JobId id) {
    if (dependents.containsKey(id)
        && ledger.job(id) == null
        && ledger.findFinalState(id).isEmpty()) {
      unresolved.add(id);
    }
  }

  /**
   * Whether the state of a job is certain from memory alone: not while the cancellation of a
   * dependency may be durable without confirmation to this leader, nor while the final state of a
   * dependency is unresolved.
   */
  boolean isCertain(Job job) {
    if (!job.hasUnmetDependencies()) {
      return true;
    }
    Set<Job> seen = new HashSet<>();
    Deque<Job> pending = new ArrayDeque<>(List.of(job));
    while (!pending.isEmpty()) {
      for (JobId id : pending.poll().unmetDependencies()) {
        Job dependency = ledger.job(id);
        if (dependency == null
            || (dependency.isCancelled() && !dependency.isCancellationDurable())) {
          return false;
        }
        if (dependency.hasUnmetDependencies() && seen.add(dependency)) {
          pending.add(dependency);
        }
      }
    }
    return true;
  }
}
