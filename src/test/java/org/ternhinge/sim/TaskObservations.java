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

/** Which tasks run where and which have run, as seen on the simulated machines. */
public final class TaskObservations {
  /** A task starts on a machine of a zone. */
  public record Start(double at, TaskId task, MachineId machine, String zone) {}

  private final SimClock clock;
  private final JobCatalog jobs;
  private final Map<TaskId, Set<MachineId>> running = new HashMap<>();
  private final Map<TaskId, Double> firstStart = new HashMap<>();
  private final Map<MachineId, Integer> startsOn = new HashMap<>();
  private final Map<JobId, Integer> startsOf = new HashMap<>();
  private final Map<MachineId, Integer> startsSentTo = new HashMap<>();
  private int starts;
  private final List<Start> history = new ArrayList<>();

  TaskObservations(SimClock clock, JobCatalog jobs) {
    this.clock = clock;
    this.jobs = jobs;
  }

  /** Notes a start and gives the machines on which the task was already. */
  Set<MachineId> started(SimWorker machine, TaskId task) {
    starts++;
    history.add(new Start(clock.seconds(), task, machine.id(), machine.zone));
    firstStart.putIfAbsent(task, clock.seconds());
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

  /** Notes commands that were sent to a machine, whether or not they reach it. */
  void sent(MachineId machine, List<Command> commands) {
    long count = commands.stream().filter(c -> c.op() == Command.Op.START).count();
    startsSentTo.merge(machine, (int) count, Integer::sum);
  }

  /** Starts of tasks on all machines so far. */
  public int starts() {
    return starts;
  }

  /** All starts from a time on, in their order. */
  public List<Start> startsSince(double seconds) {
    return history.stream().filter(start -> start.at() >= seconds).toList();
  }

  /** The tasks that run now on machines of a zone. */
  public Set<TaskId> runningIn(String zone, Map<MachineId, String> zones) {
    Set<TaskId> tasks = new HashSet<>();
    running.forEach(
        (task, where) -> {
          if (where.stream().anyMatch(machine -> zone.equals(zones.get(machine)))) {
            tasks.add(task);
          }
        });
    return tasks;
  }

  /** Starts of tasks on one machine so far. */
  public int startsOn(MachineId machine) {
    return startsOn.getOrDefault(machine, 0);
  }

  /** Starts of all tasks of a job so far. */
  public int startsOf(JobId id) {
    return startsOf.getOrDefault(id, 0);
  }

  /** Start commands that were sent to a machine, whether or not they reached it. */
  public int startsSentTo(MachineId machine) {
    return startsSentTo.getOrDefault(machine, 0);
  }

  /** Seconds at which a job's first task started, or nothing. */
  public OptionalDouble firstStartOf(JobId id) {
    return firstStart.entrySet().stream()
        .filter(e -> e.getKey().job().equals(id))
        .mapToDouble(Map.Entry::getValue)
        .min();
  }

  /** How many tasks of a job run now. */
  public int runningTasks(JobId id) {
    int count = 0;
    for (var e : running.entrySet()) {
      count += e.getKey().job().equals(id) ? e.getValue().size() : 0;
    }
    return count;
  }

  /** The machines that run a job's tasks, one entry a task. */
  public List<MachineId> machinesOf(JobId id) {
    List<MachineId> out = new ArrayList<>();
    running.forEach(
        (task, where) -> {
          if (task.job().equals(id)) {
            out.addAll(where);
          }
        });
    return out;
  }

  /** The machines that run a job's tasks, each once and in order. */
  Set<MachineId> distinctMachinesOf(JobId id) {
    return new TreeSet<>(machinesOf(id));
  }

  boolean isRunning(TaskId task) {
    return !running.getOrDefault(task, Set.of()).isEmpty();
  }

  /** Shows each task that runs. */
  public void forEachRunningTask(Consumer<TaskId> action) {
    forEachRunning((task, machines) -> action.accept(task));
  }

  /** Shows each task that runs, with its machines. */
  void forEachRunning(BiConsumer<TaskId, Set<MachineId>> action) {
    running.forEach(
        (task, where) -> {
          if (!where.isEmpty()) {
            action.accept(task, where);
          }
        });
  }

  /** What a machine has left beside the tasks that run on it. */
  Resources freeResources(SimWorker machine) {
    Resources left = machine.machineType.capacity();
    for (var e : running.entrySet()) {
      if (e.getValue().contains(machine.id())) {
        JobSpec spec = jobs.spec(e.getKey().job());
        left = left.minus(spec.need());
      }
    }
    return left;
  }
}
