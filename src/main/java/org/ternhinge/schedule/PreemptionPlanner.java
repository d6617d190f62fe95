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

/** Chooses tasks to preempt, as far as priorities and guarantees permit. */
final class PreemptionPlanner {
  /** Seconds of work that a restart from a checkpoint costs besides the time to save it. */
  private static final double RESTART_S = 5;

  /** Cost of preempting a service, whose users notice; in CPU seconds like all of these costs. */
  private static final double SERVICE_COST = 10_000;

  /** Cost of each level of priority. */
  private static final double PRIORITY_LEVEL_COST = 1000;

  /** Cost of each preempted task of a gang's place. */
  private static final double VICTIM_COST = 1;

  /** The tasks to preempt on one machine for one task. */
  private record Option(MachineCapacity machine, List<AttemptView> victims, double cost) {}

  private final PlanBuilder builder;

  /** Created once a round, as it is used for each machine that is evaluated. */
  private final Comparator<AttemptView> cheapestFirst;

  private final UnplaceableRequests unplaceable = new UnplaceableRequests(Search.PREEMPTION);

  /** The lowest priority that runs anywhere; null where nothing runs. */
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

  // ---- tasks that start one by one --------------------------------------------------------------

  /**
   * Preempts for tasks of a job, on each machine for one task at most.
   *
   * @param most for how many tasks at most
   * @return for how many tasks room is made
   */
  int makeRoom(JobView job, int most, PlacementScope scope) {
    if (most <= 0 || nothingYields(job, lowestPriority) || unplaceable.contains(job, scope)) {
      return 0;
    }
    int[] tasksByZone = builder.tasksByZone(job);
    List<Option> options = new ArrayList<>();
    boolean hasReserved = false;
    for (MachineCapacity machine : builder.machines()) {
      hasReserved |= machine.reservedByPlanFor(job.spec().id());
      builder.countEvaluation();
      if (mayPreemptOn(job, machine, tasksByZone)) {
        addOption(job, machine, scope, options);
      }
    }
    options.sort(Comparator.comparingDouble(Option::cost));
    int made = preemptCheapest(job.spec(), options, tasksByZone, most);
    if (options.isEmpty() && !hasReserved) {
      // Otherwise the job got its one place on each machine, so others may still find room.
      unplaceable.add(job, tasksByZone, scope);
    }
    return made;
  }

  private int preemptCheapest(JobSpec spec, List<Option> options, int[] tasksByZone, int most) {
    int made = 0;
    for (Option option : options) {
      if (made == most) {
        break;
      }
      int zone = option.machine.zone();
      if (PlanBuilder.zoneAllows(spec, tasksByZone, zone)) {
        builder.preempt(option.machine, spec, option.victims);
        tasksByZone[zone]++;
        builder.charge(spec, 1);
        made++;
      }
    }
    return made;
  }

  private boolean mayPreemptOn(JobView job, MachineCapacity machine, int[] tasksByZone) {
    return machine.ready()
        && !nothingYields(job, machine.lowestPriority())
        && !machine.reservedByPlanFor(job.spec().id())
        && machine.allows(job.spec())
        && PlanBuilder.zoneAllows(job.spec(), tasksByZone, machine.zone())
        && !PlanBuilder.isAvoided(job, machine);
  }

  /** Adds the cheapest preemption on a machine that makes room for one task, if there is one. */
  private void addOption(
      JobView job, MachineCapacity machine, PlacementScope scope, List<Option> options) {
    JobSpec spec = job.spec();
    List<AttemptView> candidates = candidates(job, machine, scope);
    if (candidates.isEmpty() || !builder.scopeIncludes(scope, spec, machine)) {
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
      options.add(new Option(machine, victims, builder.score(spec, machine) + cost));
    }
  }

  /**
   * Whether the freed CPU lets a task start within the team's limit, where the scope requires it.
   */
  private static boolean limitPermits(JobSpec spec, long freedCpus, PlacementScope scope) {
    return !scope.ownTeam() || spec.taskResources().cpus() <= freedCpus;
  }

  // ---- gangs ------------------------------------------------------------------------------------

  /**
   * Finds places for tasks of a gang on one machine: first the free ones, then those that need
   * preemptions, each with a higher cost than the one before.
   *
   * @param mayPreempt whether the gang may preempt others now
   * @param places the list to which the places are added
   */
  void addGangPlaces(
      JobView job,
      MachineCapacity machine,
      boolean mayPreempt,
      List<GangReservations.GangPlace> places) {
    JobSpec spec = job.spec();
    Resources room = machine.roomAfterPreemptions(spec.id());
    boolean othersMayYield = mayPreempt && !nothingYields(job, machine.lowestPriority());
    if (!othersMayYield && !spec.taskResources().fitsIn(room)) {
      return;
    }
    double cost = builder.score(spec, machine);
    while (spec.taskResources().fitsIn(room)) {
      places.add(new GangReservations.GangPlace(machine, List.of(), cost));
      room = room.minus(spec.taskResources());
    }
    if (!othersMayYield) {
      return;
    }
    MonotonicTime now = builder.snapshot().now();
    List<AttemptView> victims = new ArrayList<>();
    for (AttemptView attempt : candidates(job, machine, PlacementScope.PLAIN)) {
      victims.add(attempt);
      room = room.plus(attempt.spec().taskResources());
      cost += VICTIM_COST + preemptionCost(attempt, now);
      if (spec.taskResources().fitsIn(room)) {
        places.add(new GangReservations.GangPlace(machine, List.copyOf(victims), cost));
        room = room.minus(spec.taskResources());
        victims.clear();
      }
    }
  }

  // ---- who yields to whom -----------------------------------------------------------------------

  /**
   * Whether no attempt yields to a job.
   *
   * @param lowest the lowest priority of these attempts, or null where there are none
   */
  private static boolean nothingYields(JobView job, Priority lowest) {
    return lowest == null
        || (!job.withinGuarantee() && lowest.compareTo(job.spec().priority()) <= 0);
  }

  /** The attempts on a machine that may be preempted for a job, the cheapest first. */
  private List<AttemptView> candidates(JobView job, MachineCapacity machine, PlacementScope scope) {
    JobSpec spec = job.spec();
    List<AttemptView> candidates = List.of();
    for (AttemptView attempt : machine.view().attempts()) {
      boolean losesAccelerator =
          attempt.spec().taskResources().gpus() > 0 && spec.taskResources().gpus() == 0;
      if (yields(attempt, job)
          && !machine.isPreempted(attempt)
          && (attempt.spec().kind() != JobKind.GANG || attempt.spec().tasks() == 1)
          && (scope.mayUseAcceleratorPlaces() || !losesAccelerator)
          && (!scope.ownTeam() || attempt.spec().team().equals(spec.team()))) {
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
  private boolean yields(AttemptView victim, JobView job) {
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
   * Whether a job got its first tasks only after too long a wait, and none of them is done. If any
   * job of higher priority could preempt these, it would be overdue again, get the next free places
   * and lose them in turn: thousands of starts, none of any use.
   */
  private boolean hasStartedLate(JobSpec spec) {
    return !builder.snapshot().lateStartedJobs().isEmpty()
        && builder.snapshot().lateStartedJobs().contains(spec.id());
  }

  /** Whether a job is served before an overdue one, or is overdue as well. */
  private static boolean precedesOverdue(JobView job) {
    return job.withinGuarantee() || job.overdue() || job.spec().priority() == Priority.PRODUCTION;
  }

  /** Whether a task's team still uses as much as its guarantee without that task. */
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

  /** The cost of a preemption: CPU seconds of lost work, and what makes the task worth keeping. */
  private static double preemptionCost(AttemptView attempt, MonotonicTime now) {
    JobSpec spec = attempt.spec();
    double lostS = attempt.runningSince() == null ? 0 : now.secondsSince(attempt.runningSince());
    if (spec.checkpointIntervalS() > 0) {
      lostS = Math.min(lostS, spec.checkpointSaveS() + RESTART_S);
    }
    return lostS * Math.max(1, spec.cpus())
        + (spec.isService() ? SERVICE_COST : 0)
        + PRIORITY_LEVEL_COST * spec.priority().level();
  }
}
