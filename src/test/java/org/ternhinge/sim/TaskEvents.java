package org.ternhinge.sim;

import java.util.List;
import java.util.function.Consumer;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.JobSpec;

/** Events of tasks in a cluster, forwarded to the rule checks. */
final class TaskEvents {
  private final JobCatalog jobs;
  private final TaskObservations tasks;
  private final CancellationCheck cancellations;
  private final DependencyCheck dependencyCheck;
  private final List<TaskObserver> checks;
  private Consumer<JobId> lastTaskEnded = id -> {};

  /** Creates the events; the checks are called in the order of the list. */
  TaskEvents(
      JobCatalog jobs,
      TaskObservations tasks,
      CancellationCheck cancellations,
      DependencyCheck dependencyCheck,
      List<TaskObserver> checks) {
    this.jobs = jobs;
    this.tasks = tasks;
    this.cancellations = cancellations;
    this.dependencyCheck = dependencyCheck;
    this.checks = checks;
  }

  /** A controller sends commands, directly or in a response to a heartbeat. */
  void commandsSent(MachineId to, List<Command> commands) {
    cancellations.sent(to, commands);
    dependencyCheck.sent(commands);
  }

  /** A task starts on a machine. */
  void started(SimWorker machine, TaskId task, JobSpec spec) {
    TaskObserver.Start start =
        new TaskObserver.Start(machine, task, spec, tasks.recordStart(machine, task));
    checks.forEach(check -> check.started(start));
  }

  /** A task has left its machine. */
  void left(SimWorker machine, TaskId task) {
    tasks.left(machine, task);
    checks.forEach(check -> check.left(machine, task, jobs.spec(task.job())));
  }

  /** A task completes; the completion of a gang task completes the whole gang. */
  void completed(TaskId task) {
    JobSpec spec = jobs.spec(task.job());
    boolean ended = false;
    for (int i = 0; i < spec.tasks(); i++) {
      if (spec.isGang() || i == task.index()) {
        ended |= jobs.markCompleted(new TaskId(task.job(), i));
      }
    }
    if (ended && jobs.allCompleted(task.job())) {
      lastTaskEnded.accept(task.job());
    }
  }

  /** Sets a listener that is called with each job when its last task ends. */
  void onLastTaskEnd(Consumer<JobId> listener) {
    lastTaskEnded = listener;
  }
}
