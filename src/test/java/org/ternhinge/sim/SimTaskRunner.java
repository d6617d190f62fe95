package org.ternhinge.sim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.TaskStatus;

/** The tasks of one simulated machine: carries out commands and runs tasks to their ends. */
final class SimTaskRunner {
  /** Time of an image fetch. */
  private static final double FETCH_S = 1;

  /** How long a task runs that fails by itself. */
  private static final double FAILS_AFTER_S = 0.5;

  private final SimCluster cluster;
  private final SimWorker machine;
  private final MachineHang hang;
  private final Runnable onChange;

  /** Attempts by task and attempt number, until they are cleared. */
  private final Map<String, SimTask> tasks = new LinkedHashMap<>();

  private boolean failsEveryTask;

  /**
   * Creates a runner without tasks.
   *
   * @param onChange called after each change of a task's state that heartbeats carry
   */
  SimTaskRunner(SimCluster cluster, SimWorker machine, MachineHang hang, Runnable onChange) {
    this.cluster = cluster;
    this.machine = machine;
    this.hang = hang;
    this.onChange = onChange;
  }

  /** Every task that starts from now on fails. */
  void failEveryTask() {
    failsEveryTask = true;
  }

  /** The states of all attempts that are not cleared. */
  List<TaskStatus> statuses() {
    return tasks.values().stream().map(SimTask::status).toList();
  }

  /** Kills all tasks; their attempts stay until the next epoch. */
  void killAll() {
    tasks.values().forEach(this::kill);
  }

  /** Kills all tasks and removes their attempts. */
  void killAndClearAll() {
    killAll();
    tasks.clear();
  }

  private void kill(SimTask task) {
    noteLeft(task);
    task.kill();
  }

  // ---- commands -------------------------------------------------------------------------------

  /** Carries out a command; a repeated one changes nothing. */
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
    hang.runAfterActiveTime(FETCH_S, () -> run(key, task, spec));
  }

  // ---- life of a task -------------------------------------------------------------------------

  /** Whether an attempt is still the one under its key. */
  private boolean holds(String key, SimTask task) {
    return tasks.get(key) == task;
  }

  /** The image is fetched. */
  private void run(String key, SimTask task, JobSpec spec) {
    if (!holds(key, task) || !task.isFetching()) {
      return;
    }
    task.markRunning();
    cluster.events.started(machine, task.id(), spec);
    onChange.run();
    if (failsEveryTask || cluster.jobs.isFaulty(task.id().job())) {
      hang.runAfterActiveTime(FAILS_AFTER_S, () -> fail(key, task));
    } else if (!spec.isService()) {
      hang.runAfterActiveTime(spec.estimateS(), () -> complete(key, task));
    }
  }

  private void fail(String key, SimTask task) {
    if (holds(key, task) && task.isRunning()) {
      end(task, EndReason.ERROR);
    }
  }

  private void complete(String key, SimTask task) {
    if (holds(key, task) && task.isRunning()) {
      cluster.events.completed(task.id());
      end(task, EndReason.DONE);
    }
  }

  private void end(SimTask task, EndReason reason) {
    noteLeft(task);
    task.end(reason);
    onChange.run();
  }

  private void noteLeft(SimTask task) {
    if (task.isRunning()) {
      cluster.events.left(machine, task.id());
    }
  }
}
