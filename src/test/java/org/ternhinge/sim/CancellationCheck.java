package org.ternhinge.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.Command;

/**
 * Rule {@code ran_cancelled}: after a user has been told that a job is cancelled, no start command
 * for its tasks is sent, and once the configured cancellation time has passed, none of its tasks is
 * on a machine or starts. The same holds for jobs that depend on it.
 */
final class CancellationCheck implements TaskObserver {
  /** Allowance for message delay, for tasks that end exactly at the limit. */
  private static final double TOLERANCE_S = 0.5;

  private final RuleViolations violations;
  private final SimClock clock;
  private final JobCatalog jobs;
  private final TaskObservations tasks;
  private final Map<JobId, Double> confirmedAt = new HashMap<>();
  private int startsAfterCancel;

  CancellationCheck(
      RuleViolations violations, SimClock clock, JobCatalog jobs, TaskObservations tasks) {
    this.violations = violations;
    this.clock = clock;
    this.jobs = jobs;
    this.tasks = tasks;
  }

  /** Records that a user has been told that a job is cancelled. */
  void recordConfirmation(JobId id) {
    if (confirmedAt.putIfAbsent(id, clock.seconds()) == null) {
      clock.schedule(ClusterSettings.CANCEL_S + TOLERANCE_S, () -> assertNoTaskRuns(id));
    }
  }

  private void assertNoTaskRuns(JobId id) {
    tasks.forEachRunning(
        (task, machines) -> {
          boolean affected = task.job().equals(id) || jobs.dependencies(task.job()).contains(id);
          if (affected) {
            violations.add("ran_cancelled: " + task + " on " + machines);
          }
        });
  }

  /**
   * Seconds at which the cancellation of this job or of a dependency was first confirmed, or null.
   */
  Double firstConfirmedAt(JobId id) {
    Double first = confirmedAt.get(id);
    for (JobId dependency : jobs.dependencies(id)) {
      Double confirmedS = confirmedAt.get(dependency);
      if (confirmedS != null && (first == null || confirmedS < first)) {
        first = confirmedS;
      }
    }
    return first;
  }

  /** Whether the time has passed after which a cancelled job must be reported as cancelled. */
  boolean isOverdue(JobId id) {
    Double confirmedS = firstConfirmedAt(id);
    return confirmedS != null
        && clock.seconds() > confirmedS + ClusterSettings.CANCEL_S + TOLERANCE_S;
  }

  /**
   * Checks that no start command is sent after the cancellation is confirmed. A command sent
   * earlier may still arrive, delayed by the network; such a task only has to end in time.
   */
  void sent(MachineId machine, List<Command> commands) {
    for (Command command : commands) {
      Double confirmedS =
          command.op() == Command.Op.START ? firstConfirmedAt(command.task().job()) : null;
      if (confirmedS != null) {
        double delayS = clock.seconds() - confirmedS;
        violations.add(
            "start of "
                + command.task()
                + " sent to "
                + machine
                + " "
                + delayS
                + " s after its cancel");
      }
    }
  }

  @Override
  public void started(Start start) {
    TaskId task = start.task();
    Double confirmedS = firstConfirmedAt(task.job());
    if (confirmedS == null) {
      return;
    }
    startsAfterCancel++;
    if (clock.seconds() > confirmedS + ClusterSettings.CANCEL_S) {
      violations.add("ran_cancelled: " + task + " started");
    }
  }

  /** Number of task starts after the cancellation of the job was confirmed to its user. */
  int startsAfterCancel() {
    return startsAfterCancel;
  }
}
