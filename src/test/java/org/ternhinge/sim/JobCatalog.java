package org.ternhinge.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.ternhinge.model.JobId;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.JobSpec;

/** All jobs that were ever submitted, their dependencies, and their completed tasks. */
public final class JobCatalog {
  private final Map<JobId, JobSpec> specs = new LinkedHashMap<>();

  /** The transitive dependencies of each job. */
  private final Map<JobId, Set<JobId>> dependencies = new HashMap<>();

  private final Set<TaskId> completed = new HashSet<>();

  /** Jobs whose tasks fail on every machine. */
  private final Set<JobId> faulty = new HashSet<>();

  /** Adds a job without dependencies. */
  public void add(JobSpec spec) {
    add(spec, List.of());
  }

  /**
   * Adds a job.
   *
   * @param directDependencies the jobs that its submission names, which must have been added before
   */
  public void add(JobSpec spec, List<JobId> directDependencies) {
    specs.put(spec.id(), spec);
    Set<JobId> all = new TreeSet<>(directDependencies);
    directDependencies.forEach(id -> all.addAll(dependencies(id)));
    dependencies.put(spec.id(), all);
  }

  /** Marks a job as faulty: its tasks fail on every machine. */
  public void markFaulty(JobId id) {
    faulty.add(id);
  }

  boolean isFaulty(JobId id) {
    return faulty.contains(id);
  }

  JobSpec spec(JobId id) {
    return specs.get(id);
  }

  /** The transitive dependencies of a job. */
  public Set<JobId> dependencies(JobId id) {
    return dependencies.getOrDefault(id, Set.of());
  }

  /** A dependency of a job whose tasks are not all completed, or null. */
  JobId unfinishedDependency(JobId id) {
    for (JobId dependency : dependencies(id)) {
      if (!allCompleted(dependency)) {
        return dependency;
      }
    }
    return null;
  }

  /** Marks a task as completed; returns false if it already was. */
  public boolean markCompleted(TaskId task) {
    return completed.add(task);
  }

  boolean isCompleted(TaskId task) {
    return completed.contains(task);
  }

  /** Number of completed tasks of a job. */
  public int completedTasks(JobId id) {
    int count = 0;
    for (int i = 0; i < specs.get(id).tasks(); i++) {
      count += completed.contains(new TaskId(id, i)) ? 1 : 0;
    }
    return count;
  }

  /** Whether every task of a job is completed. */
  public boolean allCompleted(JobId id) {
    return completedTasks(id) == specs.get(id).tasks();
  }
}
