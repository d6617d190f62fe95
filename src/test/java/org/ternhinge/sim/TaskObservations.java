package org.ternhinge.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.JobSpec;

/** Task starts and running tasks as observed on the simulated machines. */
public final class TaskObservations {
  /** The start of a task on a machine. */
  public record Start(double at, TaskId task, MachineId machine, String zone) {}

  private final SimClock clock;
  private final JobCatalog jobs;
  private final Map<TaskId, Set<MachineId>> running = new HashMap<>();
  private final Map<TaskId, Double> firstStarts = new HashMap<>();
  private final Map<MachineId, Integer> startsOn = new HashMap<>();
  private final Map<JobId, Integer> startsOf = new HashMap<>();
  private final Map<MachineId, Integer> startsSentTo = new HashMap<>();
  private int starts;
  private final List<Start> startHistory = new ArrayList<>();

  TaskObservations(SimClock clock, JobCatalog jobs) {
    this.clock = clock;
    this.jobs = jobs;
  }

  /** Records a start and returns the machines on which the task already was. */
  Set<MachineId> recordStart(SimWorker machine, TaskId task) {
    starts++;
    startHistory.add(new Start(clock.seconds(), task, machine.id(), machine.zone));
    firstStarts.putIfAbsent(task, clock.seconds());
    startsOn.merge(machine.id(), 1, Integer::sum);
    startsOf.merge(task.job(), 1, Integer::sum);
    Set<MachineId> machines = running.computeIfAbsent(task, unused -> new HashSet<>());
    Set<MachineId> before = Set.copyOf(machines);
    machines.add(machine.id());
    return before;
  }

  void left(SimWorker machine, TaskId task) {
    running.get(task).remove(machine.id());
  }

  /** Records commands sent to a machine, whether or not they reach it. */
  void recordSentCommands(MachineId machine, List<Command> commands) {
    long count = commands.stream().filter(c -> c.op() == Command.Op.START).count();
    startsSentTo.merge(machine, (int) count, Integer::sum);
  }

  /** Number of task starts on all machines so far. */
  public int starts() {
    return starts;
  }

  /** All starts since the given time, in order. */
  public List<Start> startsSince(double seconds) {
    return startHistory.stream().filter(start -> start.at() >= seconds).toList();
  }

  /** The running tasks on machines of a zone. */
  public Set<TaskId> runningIn(String zone, Map<MachineId, String> zones) {
    Set<TaskId> tasks = new HashSet<>();
    running.forEach(
        (task, machines) -> {
          if (machines.stream().anyMatch(machine -> zone.equals(zones.get(machine)))) {
            tasks.add(task);
          }
        });
    return tasks;
  }

  /** Number of task starts on a machine so far. */
  public int startsOn(MachineId machine) {
    return startsOn.getOrDefault(machine, 0);
  }

  /** Number of task starts of a job so far. */
  public int startsOf(JobId id) {
    return startsOf.getOrDefault(id, 0);
  }

  /** Number of start commands sent to a machine, whether or not they reached it. */
  public int startsSentTo(MachineId machine) {
    return startsSentTo.getOrDefault(machine, 0);
  }

  /** Time of the first task start of a job in seconds, or empty. */
  public OptionalDouble firstStartOf(JobId id) {
    return firstStarts.entrySet().stream()
        .filter(e -> e.getKey().job().equals(id))
        .mapToDouble(Map.Entry::getValue)
        .min();
  }

  /** Number of running tasks of a job. */
  public int runningTasks(JobId id) {
    int count = 0;
    for (var e : running.entrySet()) {
      count += e.getKey().job().equals(id) ? e.getValue().size() : 0;
    }
    return count;
  }

  /** The machines that run tasks of a job, one entry per task. */
  public List<MachineId> machinesOf(JobId id) {
    List<MachineId> out = new ArrayList<>();
    running.forEach(
        (task, machines) -> {
          if (task.job().equals(id)) {
            out.addAll(machines);
          }
        });
    return out;
  }

  /** The distinct machines that run tasks of a job, in order. */
  Set<MachineId> distinctMachinesOf(JobId id) {
    return new TreeSet<>(machinesOf(id));
  }

  boolean isRunning(TaskId task) {
    return !running.getOrDefault(task, Set.of()).isEmpty();
  }

  /** Calls an action with each running task. */
  public void forEachRunningTask(Consumer<TaskId> action) {
    forEachRunning((task, machines) -> action.accept(task));
  }

  /** Calls an action with each running task and its machines. */
  void forEachRunning(BiConsumer<TaskId, Set<MachineId>> action) {
    running.forEach(
        (task, machines) -> {
          if (!machines.isEmpty()) {
            action.accept(task, machines);
          }
        });
  }

  /** The resources of a machine that its running tasks leave free. */
  Resources freeResources(SimWorker machine) {
    Resources left = machine.machineType.capacity();
    for (var e : running.entrySet()) {
      if (e.getValue().contains(machine.id())) {
        JobSpec spec = jobs.spec(e.getKey().job());
        left = left.minus(spec.taskResources());
      }
    }
    return left;
  }
}
