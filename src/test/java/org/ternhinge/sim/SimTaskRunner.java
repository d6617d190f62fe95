package org.ternhinge.sim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.TaskStatus;

/** Executes commands and runs the tasks of one simulated machine. */
final class SimTaskRunner {
  /** Run time of a task that fails by itself, in seconds. */
  private static final double FAILURE_DELAY_S = 0.5;

  private final SimCluster cluster;
  private final SimWorker machine;
  private final MachineHang hang;
  private final Runnable onChange;

  /** Attempts that are not cleared, by task and attempt number. */
  private final Map<String, SimTask> tasks = new LinkedHashMap<>();

  private boolean failsEveryTask;

  /**
   * Creates a runner without tasks.
   *
   * @param onChange called after each change of a task's state that heartbeats report
   */
  SimTaskRunner(SimCluster cluster, SimWorker machine, MachineHang hang, Runnable onChange) {
    this.cluster = cluster;
    this.machine = machine;
    this.hang = hang;
    this.onChange = onChange;
  }

  /** Makes every task that starts from now on fail. */
  void failEveryTask() {
    failsEveryTask = true;
  }

  /** Makes the running tasks fail. */
  void failRunning() {
    for (SimTask task : List.copyOf(tasks.values())) {
      if (task.isRunning()) {
        end(task, EndReason.ERROR);
      }
    }
  }

  /** The states of all attempts that are not cleared. */
  List<TaskStatus> statuses() {
    return tasks.values().stream().map(SimTask::status).toList();
  }

  /** Kills all tasks; their attempts are kept until the next epoch. */
  void killAll() {
    tasks.values().forEach(this::kill);
  }

  /** Kills all tasks and removes their attempts. */
  void killAndClearAll() {
    killAll();
    tasks.clear();
  }

  private void kill(SimTask task) {
    reportIfLeft(task);
    task.kill();
  }

  // ---- commands -------------------------------------------------------------------------------

  /** Executes a command; a repeated one has no effect. */
  void execute(Command command) {
    String key = command.task() + "#" + command.attempt();
    SimTask task = tasks.get(key);
    switch (command.op()) {
      case START -> {
        if (task == null) {
          start(key, command);
        }
      }
      case STOP -> {
        if (task != null && !task.hasEnded()) {
          end(task, EndReason.STOPPED);
        }
      }
      default -> {
        if (task != null && task.hasEnded()) {
          tasks.remove(key);
        }
      }
    }
  }

  private void start(String key, Command command) {
    SimTask task = new SimTask(command);
    boolean busy = tasks.values().stream().anyMatch(t -> t.id().equals(task.id()) && !t.hasEnded());
    tasks.put(key, task);
    if (busy) {
      end(task, EndReason.BUSY);
      return;
    }
    onChange.run();
    JobSpec spec = cluster.jobs.spec(task.id().job());
    hang.runAfterActiveTime(cluster.imageFetchS, () -> run(key, task, spec));
  }

  // ---- task lifecycle -------------------------------------------------------------------------

  /** Whether an attempt is still the current one under its key. */
  private boolean isCurrent(String key, SimTask task) {
    return tasks.get(key) == task;
  }

  /** Runs a task whose image is fetched. */
  private void run(String key, SimTask task, JobSpec spec) {
    if (!isCurrent(key, task) || !task.isFetching()) {
      return;
    }
    task.markRunning();
    cluster.events.started(machine, task.id(), spec);
    onChange.run();
    if (failsEveryTask || cluster.jobs.isFaulty(task.id().job())) {
      hang.runAfterActiveTime(FAILURE_DELAY_S, () -> fail(key, task));
    } else if (!spec.isService()) {
      hang.runAfterActiveTime(spec.estimateS(), () -> complete(key, task));
    }
  }

  private void fail(String key, SimTask task) {
    if (isCurrent(key, task) && task.isRunning()) {
      end(task, EndReason.ERROR);
    }
  }

  private void complete(String key, SimTask task) {
    if (isCurrent(key, task) && task.isRunning()) {
      cluster.events.completed(task.id());
      end(task, EndReason.DONE);
    }
  }

  private void end(SimTask task, EndReason reason) {
    reportIfLeft(task);
    task.end(reason);
    onChange.run();
  }

  private void reportIfLeft(SimTask task) {
    if (task.isRunning()) {
      cluster.events.left(machine, task.id());
    }
  }
}
