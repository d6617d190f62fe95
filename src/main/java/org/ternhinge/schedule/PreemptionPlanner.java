package org.ternhinge.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.ternhinge.config.Team;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot.AttemptView;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.schedule.UnplaceableRequests.Search;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Priority;

/** Selects tasks to preempt within the rules of priorities and guarantees. */
final class PreemptionPlanner {
  /** Seconds of work lost by a restart from a checkpoint, in addition to the time to save it. */
  private static final double RESTART_OVERHEAD_S = 5;

  /** Cost of preempting a service, which its users notice; in CPU seconds, like all costs here. */
  private static final double SERVICE_COST = 10_000;

  /** Cost for each priority level of the preempted task. */
  private static final double PRIORITY_LEVEL_COST = 1000;

  /** Additional cost of each task that is preempted for a gang. */
  private static final double GANG_VICTIM_COST = 1;

  /** The tasks to preempt on one machine for one task. */
  private record PreemptionOption(
      MachineCapacity machine, List<AttemptView> victims, double cost) {}

  private final PlanBuilder builder;

  /** Created once for each round because it is used for each machine that is evaluated. */
  private final Comparator<AttemptView> cheapestFirst;

  private final UnplaceableRequests unplaceable = new UnplaceableRequests(Search.PREEMPTION);

  /** The lowest priority among all open attempts; null if there are none. */
  private final Priority lowestPriority;

  PreemptionPlanner(PlanBuilder builder) {
    this.builder = builder;
    MonotonicTime now = builder.snapshot().now();
    this.cheapestFirst = Comparator.comparingDouble(attempt -> preemptionCost(attempt, now));
    this.lowestPriority = lowestPriority(builder.machines());
  }

  private static Priority lowestPriority(List<MachineCapacity> machines) {
    Priority lowest = null;
    for (MachineCapacity machine : machines) {
      Priority there = machine.lowestPriority();
      if (there != null && (lowest == null || there.compareTo(lowest) > 0)) {
        lowest = there;
      }
    }
    return lowest;
  }

  // ---- tasks that start individually ------------------------------------------------------------

  /**
   * Preempts other tasks to make room for tasks of a job, at most one task on each machine.
   *
   * @param maxTasks maximum number of tasks to make room for
   * @return number of tasks for which room is made
   */
  int makeRoom(JobView job, int maxTasks, PlacementScope scope) {
    if (maxTasks <= 0 || nonePreemptible(job, lowestPriority) || unplaceable.contains(job, scope)) {
      return 0;
    }
    int[] tasksByZone = builder.tasksByZone(job);
    List<PreemptionOption> options = new ArrayList<>();
    boolean hasReserved = false;
    for (MachineCapacity machine : builder.machines()) {
      hasReserved |= machine.reservedByPlanFor(job.spec().id());
      builder.countEvaluation();
      if (mayPreemptOn(job, machine, tasksByZone)) {
        addOption(job, machine, scope, options);
      }
    }
    options.sort(Comparator.comparingDouble(PreemptionOption::cost));
    int tasksWithRoom = preemptCheapest(job.spec(), options, tasksByZone, maxTasks);
    if (options.isEmpty() && !hasReserved) {
      // A job with a reservation may only have reached its limit of one task on each machine, so
      // other jobs may still find room.
      unplaceable.add(job, tasksByZone, scope);
    }
    return tasksWithRoom;
  }

  private int preemptCheapest(
      JobSpec spec, List<PreemptionOption> options, int[] tasksByZone, int maxTasks) {
    int tasksWithRoom = 0;
    for (PreemptionOption option : options) {
      if (tasksWithRoom == maxTasks) {
        break;
      }
      int zone = option.machine.zone();
      if (PlanBuilder.zoneAllows(spec, tasksByZone, zone)) {
        builder.preempt(option.machine, spec, option.victims);
        tasksByZone[zone]++;
        builder.charge(spec, 1);
        tasksWithRoom++;
      }
    }
    return tasksWithRoom;
  }

  private boolean mayPreemptOn(JobView job, MachineCapacity machine, int[] tasksByZone) {
    return machine.ready()
        && !nonePreemptible(job, machine.lowestPriority())
        && !machine.reservedByPlanFor(job.spec().id())
        && machine.allows(job.spec())
        && PlanBuilder.zoneAllows(job.spec(), tasksByZone, machine.zone())
        && !PlanBuilder.isAvoided(job, machine);
  }

  /** Adds an option with the cheapest tasks to preempt on a machine for one task, if any. */
  private void addOption(
      JobView job, MachineCapacity machine, PlacementScope scope, List<PreemptionOption> options) {
    JobSpec spec = job.spec();
    List<AttemptView> candidates = preemptibleAttempts(job, machine, scope);
    if (candidates.isEmpty() || !builder.scopePermits(scope, spec, machine)) {
      return;
    }
    MonotonicTime now = builder.snapshot().now();
    Resources room = machine.roomAfterPreemptions(spec.id());
    List<AttemptView> victims = new ArrayList<>();
    double cost = 0;
    long freedCpus = 0;
    for (AttemptView candidate : candidates) {
      if (spec.taskResources().fitsIn(room) && limitPermits(spec, freedCpus, scope)) {
        break;
      }
      victims.add(candidate);
      freedCpus += candidate.spec().taskResources().cpus();
      room = room.plus(candidate.spec().taskResources());
      cost += preemptionCost(candidate, now);
    }
    boolean enough = limitPermits(spec, freedCpus, scope) && spec.taskResources().fitsIn(room);
    if (!victims.isEmpty() && enough) {
      options.add(new PreemptionOption(machine, victims, builder.score(spec, machine) + cost));
    }
  }

  /**
   * Whether the freed CPU is enough to start a task of a team that is at its limit. Always true if
   * the scope is not limited to the job's own team.
   */
  private static boolean limitPermits(JobSpec spec, long freedCpus, PlacementScope scope) {
    return !scope.ownTeamOnly() || spec.taskResources().cpus() <= freedCpus;
  }

  // ---- gangs ------------------------------------------------------------------------------------

  /**
   * Finds slots for tasks of a gang on one machine: first free slots, then slots that need
   * preemptions, in order of cost.
   *
   * @param mayPreempt whether the gang may preempt other tasks now
   * @param slots the list to which the slots are added
   */
  void addGangSlots(
      JobView job,
      MachineCapacity machine,
      boolean mayPreempt,
      List<GangReservations.GangSlot> slots) {
    JobSpec spec = job.spec();
    Resources room = machine.roomAfterPreemptions(spec.id());
    boolean canPreempt = mayPreempt && !nonePreemptible(job, machine.lowestPriority());
    if (!canPreempt && !spec.taskResources().fitsIn(room)) {
      return;
    }
    double cost = builder.score(spec, machine);
    while (spec.taskResources().fitsIn(room)) {
      slots.add(new GangReservations.GangSlot(machine, List.of(), cost));
      room = room.minus(spec.taskResources());
    }
    if (!canPreempt) {
      return;
    }
    MonotonicTime now = builder.snapshot().now();
    List<AttemptView> victims = new ArrayList<>();
    for (AttemptView attempt : preemptibleAttempts(job, machine, PlacementScope.STANDARD)) {
      victims.add(attempt);
      room = room.plus(attempt.spec().taskResources());
      cost += GANG_VICTIM_COST + preemptionCost(attempt, now);
      if (spec.taskResources().fitsIn(room)) {
        slots.add(new GangReservations.GangSlot(machine, List.copyOf(victims), cost));
        room = room.minus(spec.taskResources());
        victims.clear();
      }
    }
  }

  // ---- preemption rules -------------------------------------------------------------------------

  /**
   * Whether a job can't preempt any of a set of attempts because of their priorities.
   *
   * @param lowest the lowest priority among the attempts, or null if there are none
   */
  private static boolean nonePreemptible(JobView job, Priority lowest) {
    return lowest == null
        || (!job.withinGuarantee() && lowest.compareTo(job.spec().priority()) <= 0);
  }

  /** The attempts on a machine that may be preempted for a job, the cheapest first. */
  private List<AttemptView> preemptibleAttempts(
      JobView job, MachineCapacity machine, PlacementScope scope) {
    JobSpec spec = job.spec();
    List<AttemptView> candidates = List.of();
    for (AttemptView attempt : machine.view().attempts()) {
      boolean takesAcceleratorSlot =
          attempt.spec().taskResources().gpus() > 0 && spec.taskResources().gpus() == 0;
      if (isPreemptible(attempt, job)
          && !machine.isPreempted(attempt)
          && (attempt.spec().kind() != JobKind.GANG || attempt.spec().tasks() == 1)
          && (scope.mayUseAcceleratorSlots() || !takesAcceleratorSlot)
          && (!scope.ownTeamOnly() || attempt.spec().team().equals(spec.team()))) {
        candidates = candidates.isEmpty() ? new ArrayList<>() : candidates;
        candidates.add(attempt);
      }
    }
    if (candidates.size() > 1) {
      candidates.sort(cheapestFirst);
    }
    return candidates;
  }

  /** Whether an attempt may be preempted for a job. */
  private boolean isPreemptible(AttemptView victim, JobView job) {
    if (victim.stopping()) {
      return false;
    }
    JobSpec victimSpec = victim.spec();
    if (hasStartedLate(victimSpec) && !precedesOverdue(job)) {
      return false;
    }
    if (victimSpec.priority().compareTo(job.spec().priority()) > 0) {
      return true;
    }
    return job.withinGuarantee()
        && victimSpec.priority() != Priority.PRODUCTION
        && !victimSpec.team().equals(job.spec().team())
        && teamStaysAboveGuarantee(victimSpec);
  }

  /**
   * Whether the first tasks of a job started only after it was overdue and none of them is done. If
   * any job of higher priority could preempt these tasks, this job would be overdue again, get the
   * next free room and lose it in turn: this caused thousands of starts without any progress.
   */
  private boolean hasStartedLate(JobSpec spec) {
    return !builder.snapshot().lateStartedJobs().isEmpty()
        && builder.snapshot().lateStartedJobs().contains(spec.id());
  }

  /** Whether a job ranks at least as high as an overdue job in the queue. */
  private static boolean precedesOverdue(JobView job) {
    return job.withinGuarantee() || job.overdue() || job.spec().priority() == Priority.PRODUCTION;
  }

  /** Whether the usage of a task's team is still at or above its guarantee without that task. */
  private boolean teamStaysAboveGuarantee(JobSpec victim) {
    Team team = builder.snapshot().teams().get(victim.team());
    if (team == null) {
      return false;
    }
    // No Resources are created, as this runs for each task of each machine.
    Resources use = builder.teamUse(victim.team());
    Resources freed = victim.taskResources();
    boolean countsGpus = freed.gpus() > 0 && team.gpus() > 0;
    return use.cpus() - freed.cpus() >= team.cpus()
        && (!countsGpus || use.gpus() - freed.gpus() >= team.gpus());
  }

  /** The cost of preempting a task: lost work in CPU seconds, plus costs of kind and priority. */
  private static double preemptionCost(AttemptView attempt, MonotonicTime now) {
    JobSpec spec = attempt.spec();
    double lostS = attempt.runningSince() == null ? 0 : now.secondsSince(attempt.runningSince());
    if (spec.checkpointIntervalS() > 0) {
      lostS = Math.min(lostS, spec.checkpointSaveS() + RESTART_OVERHEAD_S);
    }
    return lostS * Math.max(1, spec.cpus())
        + (spec.isService() ? SERVICE_COST : 0)
        + PRIORITY_LEVEL_COST * spec.priority().level();
  }
}
