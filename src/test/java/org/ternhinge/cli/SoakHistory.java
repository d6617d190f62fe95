package org.ternhinge.cli;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.ternhinge.model.JobId;
import org.ternhinge.model.TaskId;

/**
 * What users of a soak run saw, and what machines ran, checked against the protocol's rules. It
 * knows nothing of the controllers' own state. Safe for use by several threads.
 */
final class SoakHistory {
  /** Time without an answer after which a job counts as forgotten, in seconds. */
  static final double FORGOTTEN_S = 75;

  /** How late the stand-ins may record the end of a task. */
  static final double RECORDING_TOLERANCE_S = 0.5;

  private static final String DONE = "done";
  private static final String CANCELLED = "cancelled";

  /** A state that never changes, and when a user knew of it first. */
  private record FinalState(String state, double knownAt) {}

  private final TaskHistory tasks;
  private final double cancelS;
  private final Map<JobId, Integer> taskCounts = new HashMap<>();
  private final Map<JobId, Double> acceptedAt = new TreeMap<>();
  private final Set<JobId> cancelRequested = new HashSet<>();
  private final Map<JobId, FinalState> finalStates = new HashMap<>();
  private final Map<JobId, Double> lastAnsweredAt = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private long answers;

  /**
   * Creates an empty history.
   *
   * @param tasks the runs of tasks on machines
   * @param cancelS time within which the tasks of a cancelled job have to be gone
   */
  SoakHistory(TaskHistory tasks, double cancelS) {
    this.tasks = tasks;
    this.cancelS = cancelS;
  }

  synchronized void recordSubmitted(JobId job, int taskCount) {
    taskCounts.put(job, taskCount);
  }

  synchronized void recordCancelRequested(JobId job) {
    cancelRequested.add(job);
  }

  /**
   * Records the response to a submission, a query or a cancellation.
   *
   * @param status the HTTP status; 0 if there was no response
   * @param state the job's state in the response, or empty
   */
  synchronized void recordResponse(
      JobId job, int status, String state, double sentAt, double receivedAt) {
    if (status == 200 || status == 201) {
      recordState(job, state, sentAt, receivedAt);
    } else if (status == 404 || status == 400 || status == 422) {
      Double accepted = acceptedAt.get(job);
      if (accepted != null && accepted < sentAt) {
        violations.add("forgotten: " + job + " is accepted and was answered " + status);
      }
    }
  }

  private void recordState(JobId job, String state, double sentAt, double receivedAt) {
    answers++;
    if (!taskCounts.containsKey(job)) {
      violations.add("invented: " + job + " was never submitted and is " + state);
      return;
    }
    acceptedAt.putIfAbsent(job, receivedAt);
    lastAnsweredAt.merge(job, receivedAt, Math::max);
    checkFinalState(job, state, sentAt);
    if (state.equals(DONE) || state.equals(CANCELLED)) {
      finalStates.putIfAbsent(job, new FinalState(state, receivedAt));
    }
    if (state.equals(CANCELLED) && !cancelRequested.contains(job)) {
      violations.add("went_back: " + job + " was cancelled by nobody");
    }
    for (int i = 0; state.equals(DONE) && i < taskCounts.get(job); i++) {
      if (!tasks.isCompleted(new TaskId(job, i))) {
        violations.add("not_done: " + job + " was answered done before task " + i + " was");
      }
    }
  }

  private void checkFinalState(JobId job, String state, double sentAt) {
    FinalState known = finalStates.get(job);
    if (known == null || known.state().equals(state)) {
      return;
    }
    boolean isFinal = state.equals(DONE) || state.equals(CANCELLED);
    if (isFinal || sentAt > known.knownAt()) {
      violations.add("went_back: " + job + " was " + known.state() + " and then " + state);
    }
  }

  /** Records a violation that was observed elsewhere, such as a process that ended by itself. */
  synchronized void recordViolation(String violation) {
    violations.add(violation);
  }

  synchronized List<JobId> accepted() {
    return List.copyOf(acceptedAt.keySet());
  }

  synchronized boolean isEnded(JobId job) {
    return finalStates.containsKey(job);
  }

  /** Whether all accepted jobs have ended, as far as users know. */
  synchronized boolean allEnded() {
    return finalStates.keySet().containsAll(acceptedAt.keySet());
  }

  synchronized long answers() {
    return answers;
  }

  /**
   * Checks what can be told only at the end, and returns all violations.
   *
   * @param lastFaultAt when the last fault ended
   * @param now the current time
   * @param maxTasks how many tasks the team's limit permits at the same time
   */
  synchronized List<String> finish(double lastFaultAt, double now, int maxTasks) {
    List<String> all = new ArrayList<>(violations);
    all.addAll(tasks.violations());
    for (JobId job : acceptedAt.keySet()) {
      double answered = lastAnsweredAt.get(job);
      if (now - Math.max(lastFaultAt, answered) > FORGOTTEN_S) {
        all.add("forgotten: " + job + " has no answer since " + answered);
      }
      if (!finalStates.containsKey(job)) {
        all.add("never ended: " + job + ", " + (now - lastFaultAt) + " s after the last fault");
      }
    }
    addCancelledRuns(all, now);
    addRunsAfterEnd(all);
    if (tasks.maxLiveTasks() > maxTasks) {
      all.add("quota: " + tasks.maxLiveTasks() + " tasks of a team at once, limit " + maxTasks);
    }
    return all;
  }

  /** Adds the runs of jobs that a user knew to be done; each task had completed before. */
  private void addRunsAfterEnd(List<String> all) {
    for (TaskHistory.Run run : tasks.runs()) {
      FinalState end = finalStates.get(run.task().job());
      if (end != null && end.state().equals(DONE) && run.from() > end.knownAt()) {
        all.add("ran_after_end: " + run + " although done at " + end.knownAt());
      }
    }
  }

  private void addCancelledRuns(List<String> all, double now) {
    for (TaskHistory.Run run : tasks.runs()) {
      FinalState end = finalStates.get(run.task().job());
      if (end != null && end.state().equals(CANCELLED)) {
        double allowedTo = end.knownAt() + cancelS + RECORDING_TOLERANCE_S;
        if (Math.min(run.to(), now) > allowedTo) {
          all.add("ran_cancelled: " + run + " although cancelled at " + end.knownAt());
        }
      }
    }
  }
}
