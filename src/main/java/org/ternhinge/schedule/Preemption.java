package org.ternhinge.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.ternhinge.config.Team;
import org.ternhinge.model.Resources;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.schedule.Snapshot.AttemptView;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Priority;

/** Makes room by stopping tasks, as far as priorities and guarantees permit. */
final class Preemption {
  private record Option(MachineCapacity machine, List<AttemptView> victims, double cost) {}

  private final PlanBuilder builder;

  /** Made once a round: it is used for each machine that is evaluated. */
  private final Comparator<AttemptView> leastLossFirst;

  private final UnplaceableRequests unplaceable = new UnplaceableRequests();
  private Priority lowest;

  Preemption(PlanBuilder builder) {
    this.builder = builder;
    SteadyTime now = builder.snapshot.now();
    this.leastLossFirst = Comparator.comparingDouble(attempt -> loss(attempt, now));
    for (MachineCapacity machine : builder.machines) {
      Priority there = machine.lowestPriority();
      if (there != null && (lowest == null || there.compareTo(lowest) > 0)) {
        lowest = there;
      }
    }
  }

  /** Whether nothing that runs anywhere would have to give way to this job. */
  private boolean nothingYields(JobView job) {
    return nothingYields(job, lowest);
  }

  /**
   * Whether nothing would have to give way to this job where the least important that runs is of
   * this priority, or null where nothing runs.
   */
  private static boolean nothingYields(JobView job, Priority lowest) {
    return lowest == null || (!job.guaranteed() && lowest.compareTo(job.spec().priority()) <= 0);
  }

  private boolean mayStop(JobView job, AttemptView victim) {
    if (victim.stopping()) {
      return false;
    }
    JobSpec victimSpec = victim.spec();
    if (startedLate(victimSpec) && !precedesLate(job)) {
      return false;
    }
    if (victimSpec.priority().compareTo(job.spec().priority()) > 0) {
      return true;
    }
    return job.guaranteed()
        && victimSpec.priority() != Priority.PRODUCTION
        && !victimSpec.team().equals(job.spec().team())
        && exceeds(victimSpec.team(), victimSpec);
  }

  /**
   * Whether a job has got its first tasks only after too long a wait, and none of them is done. If
   * any job of higher priority could stop these, it would have no start again and take the next
   * free places, which would be taken back in turn: thousands of starts, none of any use.
   */
  private boolean startedLate(JobSpec spec) {
    return !builder.snapshot.startedLate().isEmpty()
        && builder.snapshot.startedLate().contains(spec.id());
  }

  /** Whether a job is served before one that has waited too long, or like it. */
  private static boolean precedesLate(JobView job) {
    return job.guaranteed() || job.late() || job.spec().priority() == Priority.PRODUCTION;
  }

  private boolean exceeds(String teamName, JobSpec victim) {
    Team team = builder.snapshot.teams().get(teamName);
    if (team == null) {
      return false;
    }
    // Plain numbers: this is asked for each task of each machine that is evaluated.
    Resources use = builder.use(teamName);
    Resources freed = victim.need();
    boolean gpu = freed.gpus() > 0 && team.gpus() > 0;
    return use.cpus() - freed.cpus() >= team.cpus()
        && (!gpu || use.gpus() - freed.gpus() >= team.gpus());
  }

  private static double loss(AttemptView attempt, SteadyTime now) {
    double lost = attempt.runningSince() == null ? 0 : now.secondsSince(attempt.runningSince());
    if (attempt.spec().checkpointIntervalS() > 0) {
      lost = Math.min(lost, attempt.spec().checkpointSaveS() + 5);
    }
    return lost * Math.max(1, attempt.spec().cpus())
        + (attempt.spec().isService() ? 10_000 : 0)
        + 1000.0 * attempt.spec().priority().level();
  }

  /** Makes room for up to so many tasks, one a machine; says for how many. */
  int makeRoom(JobView job, int most, PlacementScope scope) {
    if (most <= 0 || nothingYields(job) || unplaceable.holds(job, scope, true)) {
      return 0;
    }
    JobSpec spec = job.spec();
    int[] zones = builder.zones(job);
    List<Option> options = new ArrayList<>();
    boolean stopsAlready = false;
    for (MachineCapacity machine : builder.machines) {
      stopsAlready |= machine.stoppedFor(spec.id());
      Option option = option(job, machine, zones, scope);
      if (option != null) {
        options.add(option);
      }
    }
    options.sort(Comparator.comparingDouble(Option::cost));
    int made = 0;
    for (Option option : options) {
      if (made == most) {
        break;
      }
      if (!PlanBuilder.zoneFits(spec, zones, option.machine.zone)) {
        continue;
      }
      List<Plan.Victim> victims = new ArrayList<>();
      for (AttemptView attempt : option.victims) {
        victims.add(new Plan.Victim(attempt.spec().id(), attempt.index()));
      }
      builder
          .plan
          .stops()
          .add(new Plan.Stop(option.machine.view.id(), spec.id(), spec.need(), victims));
      option.machine.stop(spec, option.victims);
      zones[option.machine.zone]++;
      builder.charge(spec, 1);
      made++;
    }
    if (options.isEmpty() && !stopsAlready) {
      // A job gets one place a machine and round; that it wants more says nothing of others.
      unplaceable.note(job, zones, scope, true);
    }
    return made;
  }

  /** What may be stopped on a machine, the least loss first. */
  private List<AttemptView> candidates(JobView job, MachineCapacity machine, PlacementScope scope) {
    JobSpec spec = job.spec();
    List<AttemptView> out = List.of();
    for (AttemptView attempt : machine.view.attempts()) {
      boolean accelerated = attempt.spec().need().gpus() > 0 && spec.need().gpus() == 0;
      if (mayStop(job, attempt)
          && !machine.stops(attempt)
          && (attempt.spec().kind() != JobKind.GANG || attempt.spec().tasks() == 1)
          && (scope.mayBlock() || !accelerated)
          && (!scope.ownTeam() || attempt.spec().team().equals(spec.team()))) {
        out = out.isEmpty() ? new ArrayList<>() : out;
        out.add(attempt);
      }
    }
    if (out.size() > 1) {
      out.sort(leastLossFirst);
    }
    return out;
  }

  /**
   * Places for tasks of a gang on one machine: first those that are free, then those that stops
   * would make, each dearer than the one before.
   *
   * @param stops whether the job may have others stopped now
   */
  void places(
      JobView job, MachineCapacity machine, boolean stops, List<GangReservations.GangPlace> into) {
    JobSpec spec = job.spec();
    Resources room = machine.roomAfterStops(spec.id());
    boolean mayYield = stops && !nothingYields(job, machine.lowestPriority());
    if (!mayYield && !spec.need().fitsIn(room)) {
      return;
    }
    double cost = builder.score(spec, machine);
    while (spec.need().fitsIn(room)) {
      into.add(new GangReservations.GangPlace(machine, List.of(), cost));
      room = room.minus(spec.need());
    }
    if (!mayYield) {
      return;
    }
    SteadyTime now = builder.snapshot.now();
    List<AttemptView> victims = new ArrayList<>();
    for (AttemptView attempt : candidates(job, machine, PlacementScope.PLAIN)) {
      victims.add(attempt);
      room = room.plus(attempt.spec().need());
      cost += 1 + loss(attempt, now);
      if (spec.need().fitsIn(room)) {
        into.add(new GangReservations.GangPlace(machine, List.copyOf(victims), cost));
        room = room.minus(spec.need());
        victims.clear();
      }
    }
  }

  /** The cheapest stops on one machine that make room for one task, or null. */
  private Option option(JobView job, MachineCapacity machine, int[] zones, PlacementScope scope) {
    JobSpec spec = job.spec();
    builder.countEvaluation();
    if (!mayStopOn(job, machine, zones)) {
      return null;
    }
    List<AttemptView> candidates = candidates(job, machine, scope);
    if (candidates.isEmpty() || !builder.within(scope, spec, machine)) {
      return null;
    }
    SteadyTime now = builder.snapshot.now();
    Resources room = machine.roomAfterStops(spec.id());
    List<AttemptView> victims = new ArrayList<>();
    double cost = 0;
    long freedCpus = 0;
    for (AttemptView candidate : candidates) {
      if (spec.need().fitsIn(room) && frees(spec, freedCpus, scope)) {
        break;
      }
      victims.add(candidate);
      freedCpus += candidate.spec().need().cpus();
      room = room.plus(candidate.spec().need());
      cost += loss(candidate, now);
    }
    boolean enough = frees(spec, freedCpus, scope) && spec.need().fitsIn(room);
    return !victims.isEmpty() && enough
        ? new Option(machine, victims, builder.score(spec, machine) + cost)
        : null;
  }

  private boolean mayStopOn(JobView job, MachineCapacity machine, int[] zones) {
    return machine.ready()
        && !nothingYields(job, machine.lowestPriority())
        && !machine.stoppedFor(job.spec().id())
        && machine.allows(job.spec())
        && PlanBuilder.zoneFits(job.spec(), zones, machine.zone)
        && !PlanBuilder.avoided(job, machine);
  }

  /** Whether the stops free as much of the team's limit as the task takes, where that is asked. */
  private static boolean frees(JobSpec spec, long freedCpus, PlacementScope scope) {
    return !scope.ownTeam() || spec.need().cpus() <= freedCpus;
  }
}
