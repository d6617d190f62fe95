package org.ternhinge.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.Command;

/**
 * Rule {@code ran_cancelled}: once a user was told that a job is cancelled, no start of its tasks
 * is sent, and after the time that the settings give for it none is on a machine or starts. The
 * same holds for jobs that depend on it.
 */
final class CancellationCheck implements TaskObserver {
  /** Longer than a message takes, for tasks that end at the very limit. */
  private static final double TOLERANCE_S = 0.5;

  private final RuleViolations violations;
  private final SimClock clock;
  private final JobCatalog jobs;
  private final TaskObservations tasks;
  private final Map<JobId, Double> toldAt = new HashMap<>();
  private int startsAfterCancel;

  CancellationCheck(
      RuleViolations violations, SimClock clock, JobCatalog jobs, TaskObservations tasks) {
    this.violations = violations;
    this.clock = clock;
    this.jobs = jobs;
    this.tasks = tasks;
  }

  /** A user was told that a job is cancelled. */
  void told(JobId id) {
    if (toldAt.putIfAbsent(id, clock.seconds()) == null) {
      clock.after(ClusterSettings.CANCEL_S + TOLERANCE_S, () -> noTaskIsLeft(id));
    }
  }

  private void noTaskIsLeft(JobId id) {
    tasks.forEachRunning(
        (task, where) -> {
          boolean concerned = task.job().equals(id) || jobs.dependencies(task.job()).contains(id);
          if (concerned) {
            violations.add("ran_cancelled: " + task + " on " + where);
          }
        });
  }

  /** When a user was first told that this job or a dependency of it is cancelled, or null. */
  Double firstToldAt(JobId id) {
    Double first = toldAt.get(id);
    for (JobId dependency : jobs.dependencies(id)) {
      Double told = toldAt.get(dependency);
      if (told != null && (first == null || told < first)) {
        first = told;
      }
    }
    return first;
  }

  /** Whether a job that is still called unfinished should have been called cancelled by now. */
  boolean isOverdue(JobId id) {
    Double told = firstToldAt(id);
    return told != null && clock.seconds() > told + ClusterSettings.CANCEL_S + TOLERANCE_S;
  }

  /**
   * No start may be sent once the user was told of the cancellation. One that was sent before may
   * still arrive, held up by the network; such a task only has to be gone in time.
   */
  void sent(MachineId machine, List<Command> commands) {
    for (Command command : commands) {
      Double told = command.op() == Command.Op.START ? firstToldAt(command.task().job()) : null;
      if (told != null) {
        double late = clock.seconds() - told;
        violations.add(
            "start of "
                + command.task()
                + " sent to "
                + machine
                + " "
                + late
                + " s after its cancel");
      }
    }
  }

  @Override
  public void started(Start start) {
    TaskId task = start.task();
    Double told = firstToldAt(task.job());
    if (told == null) {
      return;
    }
    startsAfterCancel++;
    if (clock.seconds() > told + ClusterSettings.CANCEL_S) {
      violations.add("ran_cancelled: " + task + " started");
    }
  }

  /** Starts of tasks whose user had been told that their job is cancelled. */
  int startsAfterCancel() {
    return startsAfterCancel;
  }
}
