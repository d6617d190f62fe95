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
 * The graph of dependencies between jobs. The state of a dependent job follows from durable facts
 * alone: it is cancelled at the instant at which the key-value store holds the cancellation of one
 * that it depends on, directly or through others, and it may start once the key-value store holds
 * that all of them are done. Its own record follows when the write limits allow, and the next
 * leader derives the same.
 */
public final class DependencyGraph {
  private final Ledger ledger;
  private final Clock clock;

  /** Unstarted jobs by each of their unmet dependencies. */
  private final Map<JobId, Set<Job>> dependents = new HashMap<>();

  /** Dependencies that are neither in the ledger nor known to have ended. */
  private final LinkedHashSet<JobId> unresolved = new LinkedHashSet<>();

  /** Jobs whose planned priority was raised since the last {@link #drainRaised}. */
  private final List<Job> raised = new ArrayList<>();

  /** Whether a job became ready since the last {@link #drainReady}. */
  private boolean someReady;

  DependencyGraph(Ledger ledger, Clock clock) {
    this.ledger = ledger;
    this.clock = clock;
  }

  // ---- jobs that are added --------------------------------------------------------------------

  /** Adds a job that was just added to the ledger. */
  void add(Job job) {
    JobId id = job.spec().id();
    unresolved.remove(id);
    if (!job.spec().dependencies().isEmpty() && !job.started() && !job.cancelled()) {
      linkDependencies(job);
    }
    for (Job dependent : dependents.getOrDefault(id, Set.of())) {
      raisePriority(job, dependent.planned().priority());
    }
    if (job.cancelDurable()) {
      cancelDependents(id);
    }
  }

  private void linkDependencies(Job job) {
    boolean cancelled = false;
    for (JobId id : job.spec().dependencies()) {
      Job dependency = ledger.job(id);
      if (dependency != null) {
        cancelled |= dependency.cancelDurable();
        link(job, id);
        raisePriority(dependency, job.planned().priority());
        continue;
      }
      Optional<JobState> end = ledger.findEnd(id);
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

  /** A job is as urgent as the most urgent one that depends on it, directly or through others. */
  private void raisePriority(Job job, Priority priority) {
    Deque<Job> pending = new ArrayDeque<>(List.of(job));
    while (!pending.isEmpty()) {
      Job next = pending.poll();
      if (next.inherit(priority)) {
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

  /** The key-value store holds a job's cancellation: cancels every job that depends on it. */
  void cancelDependents(JobId id) {
    cancel(dependents.getOrDefault(id, Set.of()));
  }

  private void cancel(Collection<Job> jobs) {
    Deque<Job> pending = new ArrayDeque<>(jobs);
    while (!pending.isEmpty()) {
      Job job = pending.poll();
      if (job.cancelledByDependency() || job.started()) {
        continue;
      }
      unlink(job);
      if (!job.cancelDurable()) {
        ledger.cancelByDependency(job);
      }
      pending.addAll(dependents.getOrDefault(job.spec().id(), Set.of()));
    }
  }

  /** The key-value store holds a job's final record. */
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
        job.readyMillis(Math.max(job.acceptedMillis(), clock.wallClockMillis()));
        someReady = true;
      }
    }
  }

  // ---- questions of the leadership ------------------------------------------------------------

  /** Whether a job became ready to start since the last call. */
  public boolean drainReady() {
    boolean ready = someReady;
    someReady = false;
    return ready;
  }

  /** Jobs whose planned priority was raised since the last call. */
  public List<Job> drainRaised() {
    List<Job> drained = List.copyOf(raised);
    raised.clear();
    return drained;
  }

  /** Removes and returns a dependency whose end has to be read from the key-value store. */
  public Optional<JobId> pollUnresolved() {
    Iterator<JobId> ids = unresolved.iterator();
    if (!ids.hasNext()) {
      return Optional.empty();
    }
    JobId id = ids.next();
    ids.remove();
    return Optional.of(id);
  }

  /** The end of a job could not be read: returns it to the unresolved ones if it still matters. */
  public void retryUnresolved(JobId id) {
    if (dependents.containsKey(id) && ledger.job(id) == null && ledger.findEnd(id).isEmpty()) {
      unresolved.add(id);
    }
  }

  /**
   * Whether the state of a job is certain by memory alone: not while the cancellation of a
   * dependency may be durable without this leader having seen it, nor while the end of a dependency
   * is unresolved.
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
        if (dependency == null || (dependency.cancelled() && !dependency.cancelDurable())) {
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
