package org.ternhinge.cli;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.model.JobId;
import org.ternhinge.model.TaskId;

/**
 * Records task runs and the job states answered to users, and checks them for violations of
 * invariants. Safe for use by several threads.
 */
final class TaskHistory {
  /**
   * Start of a task on a machine.
   *
   * @param at time of the start, in seconds
   */
  record Start(double at, TaskId task, String machine, String zone) {}

  /**
   * A task's time on a machine.
   *
   * @param to time of its removal in seconds; infinite while it is there
   */
  record Run(TaskId task, String machine, double from, double to) {}

  private final List<Run> ended = new ArrayList<>();
  private final Map<TaskId, Map<String, Double>> startTimes = new HashMap<>();
  private int maxLiveTasks;
  private final List<Start> starts = new ArrayList<>();
  private final Map<TaskId, Set<String>> machinesByTask = new HashMap<>();
  private final Set<TaskId> completed = new HashSet<>();
  private final Map<JobId, String> finalStates = new HashMap<>();
  private final List<String> violations = new ArrayList<>();

  synchronized void recordStart(double at, TaskId task, String machine, String zone) {
    Set<String> machines = machinesByTask.computeIfAbsent(task, key -> new HashSet<>());
    if (!machines.isEmpty()) {
      violations.add(task + " starts on " + machine + " while it is on " + machines);
    }
    machines.add(machine);
    starts.add(new Start(at, task, machine, zone));
    startTimes.computeIfAbsent(task, key -> new HashMap<>()).put(machine, at);
    maxLiveTasks = Math.max(maxLiveTasks, liveTasks());
  }

  /** Records that a task is no longer on its machine, completed or not. */
  synchronized void recordRemoval(TaskId task, String machine, boolean done) {
    machinesByTask.computeIfAbsent(task, key -> new HashSet<>()).remove(machine);
    Double from = startTimes.computeIfAbsent(task, key -> new HashMap<>()).remove(machine);
    if (from != null) {
      ended.add(new Run(task, machine, from, System.nanoTime() / 1e9));
    }
    if (done) {
      completed.add(task);
    }
  }

  /** Records a job's state that was answered to a user. */
  synchronized void recordAnswer(JobId job, String state, int tasks) {
    String before = finalStates.get(job);
    if (before != null && !before.equals(state)) {
      violations.add(job + " was answered " + before + " and then " + state);
    }
    if (state.equals("done") || state.equals("cancelled")) {
      finalStates.put(job, state);
    }
    for (int i = 0; state.equals("done") && i < tasks; i++) {
      if (!completed.contains(new TaskId(job, i))) {
        violations.add(job + " was answered done before task " + i + " was");
      }
    }
  }

  synchronized String finalState(JobId job) {
    return finalStates.get(job);
  }

  synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  synchronized List<Start> startsSince(double seconds) {
    return starts.stream().filter(start -> start.at() >= seconds).toList();
  }

  /** Returns the tasks that are on machines of a zone now. */
  synchronized Set<TaskId> liveIn(String zone) {
    Set<TaskId> tasks = new HashSet<>();
    for (Start start : starts) {
      boolean there = machinesByTask.getOrDefault(start.task(), Set.of()).contains(start.machine());
      if (there && start.zone().equals(zone)) {
        tasks.add(start.task());
      }
    }
    return tasks;
  }

  /** Returns all times of tasks on machines so far. */
  synchronized List<Run> runs() {
    List<Run> runs = new ArrayList<>(ended);
    startTimes.forEach(
        (task, starts) ->
            starts.forEach(
                (machine, from) ->
                    runs.add(new Run(task, machine, from, Double.POSITIVE_INFINITY))));
    return runs;
  }

  /** Returns the largest number of tasks that were on machines at the same time. */
  synchronized int maxLiveTasks() {
    return maxLiveTasks;
  }

  /** Returns whether a task has completed on some machine. */
  synchronized boolean isCompleted(TaskId task) {
    return completed.contains(task);
  }

  synchronized int liveTasks() {
    return machinesByTask.values().stream().mapToInt(Set::size).sum();
  }
}
