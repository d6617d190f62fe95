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
import java.util.Set;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.Priority;

/**
 * Which jobs wait for which. What a waiting job's state is follows from durable facts alone: it is
 * cancelled at the instant at which the key-value store holds that one before it is, directly or
 * through others, and it may start once the key-value store holds that all before it are done. Its
 * own record follows when writes allow, and whoever leads next derives the same.
 */
public final class Dependencies {
  private final Ledger ledger;
  private final Clock clock;

  /** Waiting jobs by what they wait for. */
  private final Map<JobId, Set<Job>> dependents = new HashMap<>();

  /** Jobs waited for that are neither in the ledger nor known to have ended. */
  private final LinkedHashSet<JobId> unresolved = new LinkedHashSet<>();

  private final List<Job> raised = new ArrayList<>();
  private boolean someReady;

  Dependencies(Ledger ledger, Clock clock) {
    this.ledger = ledger;
    this.clock = clock;
  }

  /** A job has come into the ledger. */
  void adopted(Job job) {
    JobId id = job.spec().id();
    unresolved.remove(id);
    if (!job.spec().dependencies().isEmpty() && !job.started() && !job.cancelled()) {
      link(job);
    }
    for (Job dependent : dependents.getOrDefault(id, Set.of())) {
      raise(job, dependent.planned().priority());
    }
    if (job.cancelDurable()) {
      cancelDependents(id);
    }
  }

  private void link(Job job) {
    boolean cancelled = false;
    for (JobId id : job.spec().dependencies()) {
      Job before = ledger.job(id);
      JobState ended = before == null ? ledger.ended(id) : null;
      if (ended != null) {
        cancelled |= ended.phase() == JobState.Phase.CANCELLED;
        continue;
      }
      cancelled |= before != null && before.cancelDurable();
      job.unmetDependencies().add(id);
      dependents.computeIfAbsent(id, k -> new LinkedHashSet<>()).add(job);
      if (before == null) {
        unresolved.add(id);
      } else {
        raise(before, job.planned().priority());
      }
    }
    if (cancelled) {
      cancel(List.of(job));
    }
  }

  /** Work before an urgent job is as urgent. */
  private void raise(Job job, Priority priority) {
    Deque<Job> todo = new ArrayDeque<>(List.of(job));
    while (!todo.isEmpty()) {
      Job next = todo.poll();
      if (next.inherit(priority)) {
        raised.add(next);
        for (JobId id : next.unmetDependencies()) {
          Job before = ledger.job(id);
          if (before != null) {
            todo.add(before);
          }
        }
      }
    }
  }

  /** The key-value store holds that a job is cancelled: so is every one that depends on it. */
  void cancelDependents(JobId id) {
    cancel(dependents.getOrDefault(id, Set.of()));
  }

  private void cancel(Collection<Job> jobs) {
    Deque<Job> todo = new ArrayDeque<>(jobs);
    while (!todo.isEmpty()) {
      Job job = todo.poll();
      if (job.cancelledByDependency() || job.started()) {
        continue;
      }
      forget(job);
      if (!job.cancelDurable()) {
        ledger.cancelByDependency(job);
      }
      todo.addAll(dependents.getOrDefault(job.spec().id(), Set.of()));
    }
  }

  /** A job no longer waits for anything. */
  private void forget(Job job) {
    for (JobId id : job.unmetDependencies()) {
      Set<Job> others = dependents.get(id);
      if (others != null && others.remove(job) && others.isEmpty()) {
        dependents.remove(id);
        unresolved.remove(id);
      }
    }
    job.unmetDependencies().clear();
  }

  /** The key-value store holds a job's end. */
  void ended(JobState state) {
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
        job.readyMillis(Math.max(job.acceptedMillis(), clock.wallMillis()));
        someReady = true;
      }
    }
  }

  /** A job was found to have ended, perhaps long ago. */
  public void resolved(JobState state) {
    ledger.rememberEnd(state);
    ended(state);
  }

  /** Whether a job could start that could not before; says so once. */
  public boolean takeReady() {
    boolean ready = someReady;
    someReady = false;
    return ready;
  }

  /** Jobs that have become more urgent; says so once. */
  public List<Job> takeRaised() {
    List<Job> out = List.copyOf(raised);
    raised.clear();
    return out;
  }

  /** A job whose fate has to be read from the key-value store, or null; it is given out once. */
  public JobId nextUnresolved() {
    Iterator<JobId> it = unresolved.iterator();
    if (!it.hasNext()) {
      return null;
    }
    JobId id = it.next();
    it.remove();
    return id;
  }

  /** The fate of a job could not be read; whoever still waits for it has it asked again. */
  public void unknown(JobId id) {
    if (dependents.containsKey(id) && ledger.job(id) == null && ledger.ended(id) == null) {
      unresolved.add(id);
    }
  }

  /**
   * Whether the state of a waiting job can be told from memory: not while a cancellation before it
   * may be durable without this leader knowing, nor while the fate of one before it is not known.
   */
  boolean sure(Job job) {
    if (!job.hasUnmetDependencies()) {
      return true;
    }
    Set<Job> seen = new HashSet<>();
    Deque<Job> todo = new ArrayDeque<>(List.of(job));
    while (!todo.isEmpty()) {
      for (JobId id : todo.poll().unmetDependencies()) {
        Job before = ledger.job(id);
        if (before == null || (before.cancelled() && !before.cancelDurable())) {
          return false;
        }
        if (before.hasUnmetDependencies() && seen.add(before)) {
          todo.add(before);
        }
      }
    }
    return true;
  }
}
