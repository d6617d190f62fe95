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
 * The state of one planning round: the decisions so far, the remaining room and the remaining team
 * quotas. Scores a task on a machine in seconds; lower is better.
 */
final class PlanBuilder {
  /** Used instead of a zone index if the tasks of a job may be spread over several zones. */
  static final int ANY_ZONE = -1;

  /** Penalty for each accelerator slot that is lost. */
  private static final double LOST_SLOT_PENALTY_S = 120;

  /** Penalty for each accelerator slot that becomes available only by preempting this task. */
  private static final double BLOCKED_SLOT_PENALTY_S = 15;

  /** Penalty for placing a job that may run on spot machines on an on-demand machine. */
  private static final double ON_DEMAND_PENALTY_S = 3;

  /** Penalty for leaving all CPUs of a machine unused; scaled by the unused fraction. */
  private static final double UNUSED_CPUS_PENALTY_S = 2.0;

  private final Snapshot snapshot;
  private final Plan plan = new Plan();
  private final List<MachineCapacity> machines = new ArrayList<>();
  private final AcceleratorSlots acceleratorSlots;
  private final Map<String, Resources> teamUse;
  private final Map<JobId, int[]> tasksByZone = new HashMap<>();

  /** Resources that array tasks use, by team; computed on first access. */
  private Map<String, Resources> arrayUse;

  private long evaluations;

  PlanBuilder(Snapshot snapshot) {
    this.snapshot = snapshot;
    this.teamUse = new HashMap<>(snapshot.teamUse());
    this.acceleratorSlots = new AcceleratorSlots(snapshot);
    for (MachineView machine : snapshot.machines()) {
      machines.add(new MachineCapacity(machine));
    }
  }

  Snapshot snapshot() {
    return snapshot;
  }

  /** All machines of the snapshot, with the room that the plan has left on them so far. */
  List<MachineCapacity> machines() {
    return machines;
  }

  AcceleratorSlots acceleratorSlots() {
    return acceleratorSlots;
  }

  /** Counts one evaluation of a job against a machine or an offer, the unit of a round's budget. */
  void countEvaluation() {
    evaluations++;
  }

  long evaluations() {
    return evaluations;
  }

  /** The smallest CPU request among jobs, in thousandths; {@link Long#MAX_VALUE} if none. */
  static long smallestRequestCpus(List<JobView> jobs) {
    long smallest = Long.MAX_VALUE;
    for (JobView job : jobs) {
      smallest = Math.min(smallest, job.spec().taskResources().cpus());
    }
    return smallest;
  }

  // ---- decisions --------------------------------------------------------------------------------

  /** Adds a placement to the plan, one machine for each task, and charges it to the team. */
  void place(JobSpec spec, List<Integer> tasks, List<MachineId> onMachines) {
    charge(spec, tasks.size());
    plan.placements().add(new Plan.Placement(spec.id(), tasks, onMachines));
  }

  /** Adds a preemption to the plan and reserves the room on the machine for one task of a job. */
  void preempt(MachineCapacity machine, JobSpec forJob, List<AttemptView> victims) {
    addPreemption(machine, forJob, victims);
    machine.preempt(forJob, victims);
  }

  /** Adds a preemption to the plan without changing the machine's remaining capacity. */
  void addPreemption(MachineCapacity machine, JobSpec forJob, List<AttemptView> victims) {
    List<Plan.Victim> planned = new ArrayList<>(victims.size());
    for (AttemptView attempt : victims) {
      planned.add(new Plan.Victim(attempt.spec().id(), attempt.index()));
    }
    plan.preemptions()
        .add(
            new Plan.Preemption(machine.view().id(), forJob.id(), forJob.taskResources(), planned));
  }

  /** Adds the provisioning of machines of an offer to the plan. */
  void scaleOut(Offer offer, int count) {
    plan.scaleOuts()
        .add(new Plan.ScaleOut(offer.machineType().name(), offer.zoneName(), offer.spot(), count));
  }

  /** Adds the release of an idle machine to the plan. */
  void release(MachineId machine) {
    plan.releases().add(machine);
  }

  /** Returns the finished plan, with the number of evaluations. */
  Plan build() {
    plan.evaluations(evaluations);
    return plan;
  }

  // ---- team limits ------------------------------------------------------------------------------

  Resources teamUse(String team) {
    return teamUse.getOrDefault(team, Resources.ZERO);
  }

  /** Adds the resources of tasks to their team's usage. */
  void charge(JobSpec spec, int tasks) {
    if (tasks > 0) {
      teamUse.merge(spec.team(), spec.taskResources().times(tasks), Resources::plus);
    }
  }

  /** How many more tasks of this job the team's limit permits. */
  int tasksWithinLimit(JobSpec spec) {
    return tasksWithinLimit(spec, Resources.ZERO);
  }

  /** The same, as if the team's running array tasks had ended; they usually end soon. */
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

  /** Number of a job's tasks in each zone under the plan so far; callers update the array. */
  int[] tasksByZone(JobView job) {
    return tasksByZone.computeIfAbsent(job.spec().id(), id -> job.openByZone().toIntArray());
  }

  /** The zones to search one by one; only {@link #ANY_ZONE} if the tasks may be spread. */
  static int[] candidateZones(JobView job) {
    if (!job.spec().singleZone()) {
      return new int[] {ANY_ZONE};
    }
    return IntStream.range(0, job.openByZone().size()).toArray();
  }

  /** Whether another task of a job may be placed in a zone, given its tasks by zone. */
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

  /** Whether a scope permits placing a task on a machine. */
  boolean scopePermits(PlacementScope scope, JobSpec spec, MachineCapacity machine) {
    return (!scope.imageCached() || machine.hasImage(spec.image()))
        && (scope.mayUseAcceleratorSlots() || acceleratorSlots.lostSlots(spec, machine) <= 0);
  }

  /** Whether a job avoids a machine because it has failed there. */
  static boolean isAvoided(JobView job, MachineCapacity machine) {
    return !job.avoidedMachines().isEmpty() && job.avoidedMachines().contains(machine.view().id());
  }

  // ---- score ------------------------------------------------------------------------------------

  /** Estimated seconds to fetch the job's image; 0 if the machine has it. */
  double imageFetchS(JobSpec spec, MachineCapacity machine) {
    return machine.hasImage(spec.image()) ? 0 : machine.machineType().fetchSeconds(spec.imageGb());
  }

  /** The score of a task on a machine: fetch time and penalties in seconds; lower is better. */
  double score(JobSpec spec, MachineCapacity machine) {
    double score = imageFetchS(spec, machine);
    int lostSlots = acceleratorSlots.lostSlots(spec, machine);
    if (lostSlots > 0) {
      score += LOST_SLOT_PENALTY_S * lostSlots;
    } else if (machine.machineType().capacity().gpus() > 0) {
      score += BLOCKED_SLOT_PENALTY_S * acceleratorSlots.blockedSlots(spec, machine);
    }
    if (spec.spotAllowed() && !machine.spot()) {
      score += ON_DEMAND_PENALTY_S;
    }
    if (spec.isService()) {
      score += machine.colocationPenalty(spec);
    }
    long capacityCpus = Math.max(1, machine.machineType().capacity().cpus());
    return score
        + UNUSED_CPUS_PENALTY_S * (machine.freeCpus() - spec.taskResources().cpus()) / capacityCpus;
  }
}
