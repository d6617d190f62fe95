package org.ternhinge.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.ternhinge.config.Team;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot.AttemptView;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.schedule.Snapshot.MachineView;
import org.ternhinge.schedule.Snapshot.Offer;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;

/**
 * The state of one planning round: the decisions so far, and the room and team limits that they
 * leave. Scores a task on a machine in seconds, the lowest score being the best.
 */
final class PlanBuilder {
  /** Takes the place of a zone where the tasks of a job may be spread over several. */
  static final int ANY_ZONE = -1;

  /** Score of each place that a task with accelerators loses. */
  private static final double LOST_PLACE_S = 120;

  /** Score of each place that a task with accelerators gets only by preempting this one. */
  private static final double OBSTRUCTED_PLACE_S = 15;

  /** Score of an on-demand machine for a job that may run on spot machines. */
  private static final double ON_DEMAND_S = 3;

  /** Score of leaving all CPUs of a machine unused; in proportion for a part of them. */
  private static final double UNUSED_MACHINE_S = 2.0;

  private final Snapshot snapshot;
  private final Plan plan = new Plan();
  private final List<MachineCapacity> machines = new ArrayList<>();
  private final AcceleratorPlaces acceleratorPlaces;
  private final Map<String, Resources> teamUse;
  private final Map<JobId, int[]> tasksByZone = new HashMap<>();

  /** Use of arrays by team; computed at the first use. */
  private Map<String, Resources> arrayUse;

  private long evaluations;

  PlanBuilder(Snapshot snapshot) {
    this.snapshot = snapshot;
    this.teamUse = new HashMap<>(snapshot.teamUse());
    this.acceleratorPlaces = new AcceleratorPlaces(snapshot);
    for (MachineView machine : snapshot.machines()) {
      machines.add(new MachineCapacity(machine));
    }
  }

  Snapshot snapshot() {
    return snapshot;
  }

  /** All machines of the snapshot, with the room that the plan leaves. */
  List<MachineCapacity> machines() {
    return machines;
  }

  AcceleratorPlaces acceleratorPlaces() {
    return acceleratorPlaces;
  }

  /** Counts one evaluation of a job against a machine or an offer, the unit of a round's budget. */
  void countEvaluation() {
    evaluations++;
  }

  long evaluations() {
    return evaluations;
  }

  /** The CPU of the smallest request among jobs, in millis. */
  static long smallestRequestCpus(List<JobView> jobs) {
    long smallest = Long.MAX_VALUE;
    for (JobView job : jobs) {
      smallest = Math.min(smallest, job.spec().taskResources().cpus());
    }
    return smallest;
  }

  // ---- decisions --------------------------------------------------------------------------------

  /** Starts tasks, each on the machine at its position, and charges them to the team. */
  void place(JobSpec spec, List<Integer> tasks, List<MachineId> onMachines) {
    charge(spec, tasks.size());
    plan.placements().add(new Plan.Placement(spec.id(), tasks, onMachines));
  }

  /** Preempts tasks on a machine and reserves the room there for one task of a job. */
  void preempt(MachineCapacity machine, JobSpec forJob, List<AttemptView> victims) {
    addPreemption(machine, forJob, victims);
    machine.preempt(forJob, victims);
  }

  /** Adds a preemption to the plan without any change of the machine's capacity. */
  void addPreemption(MachineCapacity machine, JobSpec forJob, List<AttemptView> victims) {
    List<Plan.Victim> planned = new ArrayList<>(victims.size());
    for (AttemptView attempt : victims) {
      planned.add(new Plan.Victim(attempt.spec().id(), attempt.index()));
    }
    plan.preemptions()
        .add(
            new Plan.Preemption(machine.view().id(), forJob.id(), forJob.taskResources(), planned));
  }

  /** Provisions machines of an offer. */
  void scaleOut(Offer offer, int count) {
    plan.scaleOuts()
        .add(new Plan.ScaleOut(offer.machineType().name(), offer.zoneName(), offer.spot(), count));
  }

  /** Releases an idle machine. */
  void release(MachineId machine) {
    plan.releases().add(machine);
  }

  /** The plan, with the number of evaluations that it took. */
  Plan finish() {
    plan.evaluations(evaluations);
    return plan;
  }

  // ---- team limits ------------------------------------------------------------------------------

  Resources teamUse(String team) {
    return teamUse.getOrDefault(team, Resources.ZERO);
  }

  /** Adds tasks of a job to its team's use. */
  void charge(JobSpec spec, int tasks) {
    if (tasks > 0) {
      teamUse.merge(spec.team(), spec.taskResources().times(tasks), Resources::plus);
    }
  }

  /** How many more tasks of this size the team's limit permits. */
  int tasksWithinLimit(JobSpec spec) {
    return tasksWithinLimit(spec, Resources.ZERO);
  }

  /** The same once the team's arrays have ended, which they do before long. */
  int tasksWithinLimitWithoutArrays(JobSpec spec) {
    if (arrayUse == null) {
      arrayUse = arrayUse(snapshot);
    }
    return tasksWithinLimit(spec, arrayUse.getOrDefault(spec.team(), Resources.ZERO));
  }

  private static Map<String, Resources> arrayUse(Snapshot snapshot) {
    Map<String, Resources> arrayUse = new HashMap<>();
    for (MachineView machine : snapshot.machines()) {
      for (AttemptView attempt : machine.attempts()) {
        if (attempt.spec().kind() == JobKind.ARRAY) {
          arrayUse.merge(attempt.spec().team(), attempt.spec().taskResources(), Resources::plus);
        }
      }
    }
    return arrayUse;
  }

  private int tasksWithinLimit(JobSpec spec, Resources ignoredUse) {
    Team team = snapshot.teams().get(spec.team());
    Resources use = teamUse(spec.team()).minus(ignoredUse);
    long tasks = Integer.MAX_VALUE;
    if (team.cpusMax() > 0) {
      tasks =
          Math.min(tasks, Math.floorDiv(team.cpusMax() - use.cpus(), spec.taskResources().cpus()));
    }
    if (team.gpusMax() > 0 && spec.taskResources().gpus() > 0) {
      tasks =
          Math.min(tasks, Math.floorDiv(team.gpusMax() - use.gpus(), spec.taskResources().gpus()));
    }
    return (int) Math.max(0, tasks);
  }

  // ---- filter -----------------------------------------------------------------------------------

  /** The number of a job's tasks in each zone, in the present plan; callers count it up. */
  int[] tasksByZone(JobView job) {
    return tasksByZone.computeIfAbsent(job.spec().id(), id -> job.openByZone().toIntArray());
  }

  /** The zones to try one by one for all of a job's tasks together, or {@link #ANY_ZONE} alone. */
  static int[] candidateZones(JobView job) {
    if (!job.spec().singleZone()) {
      return new int[] {ANY_ZONE};
    }
    return IntStream.range(0, job.openByZone().size()).toArray();
  }

  /** Whether another task of a job may go to a zone, given its tasks by zone. */
  static boolean zoneAllows(JobSpec spec, int[] tasksByZone, int zone) {
    if (tasksByZone[zone] >= spec.maxTasksPerZone()) {
      return false;
    }
    if (spec.singleZone()) {
      for (int other = 0; other < tasksByZone.length; other++) {
        if (other != zone && tasksByZone[other] > 0) {
          return false;
        }
      }
    }
    return true;
  }

  /** Whether a scope includes a place for a task on a machine. */
  boolean scopeIncludes(PlacementScope scope, JobSpec spec, MachineCapacity machine) {
    return (!scope.cached() || machine.hasImage(spec.image()))
        && (scope.mayUseAcceleratorPlaces() || acceleratorPlaces.lostPlaces(spec, machine) <= 0);
  }

  /** Whether a job has failed on a machine. */
  static boolean isAvoided(JobView job, MachineCapacity machine) {
    return !job.avoidedMachines().isEmpty() && job.avoidedMachines().contains(machine.view().id());
  }

  // ---- score ------------------------------------------------------------------------------------

  /** Seconds until a machine holds the job's image. */
  double imageFetchS(JobSpec spec, MachineCapacity machine) {
    return machine.hasImage(spec.image()) ? 0 : machine.machineType().fetchSeconds(spec.imageGb());
  }

  /** Estimated seconds of waiting and waste for a task on a machine; the lowest is the best. */
  double score(JobSpec spec, MachineCapacity machine) {
    double score = imageFetchS(spec, machine);
    int lost = acceleratorPlaces.lostPlaces(spec, machine);
    if (lost > 0) {
      score += LOST_PLACE_S * lost;
    } else if (machine.machineType().capacity().gpus() > 0) {
      score += OBSTRUCTED_PLACE_S * acceleratorPlaces.obstructedPlaces(spec, machine);
    }
    if (spec.spotAllowed() && !machine.spot()) {
      score += ON_DEMAND_S;
    }
    if (spec.isService()) {
      score += machine.siblingScore(spec);
    }
    long capacityCpus = Math.max(1, machine.machineType().capacity().cpus());
    return score
        + UNUSED_MACHINE_S * (machine.freeCpus() - spec.taskResources().cpus()) / capacityCpus;
  }
}
