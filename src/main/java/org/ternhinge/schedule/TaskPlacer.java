package org.ternhinge.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Priority;

/**
 * Finds room for tasks among what is free. Each job evaluates each machine with room once and then
 * fills the best ones; asking every machine for every task took a round's whole time with hundreds
 * of machines and arrays of hundreds of tasks.
 */
final class TaskPlacer {
  /** Score, in seconds, in favour of a place that was made for the job. */
  private static final double RESERVED_S = 1000;

  private record Choice(MachineCapacity machine, int order, double score) {}

  private final PlanBuilder builder;
  private final UnplaceableRequests unplaceable = new UnplaceableRequests();

  /** The fewest tasks of a gang, by what each needs, that found no room in this round. */
  private final Map<GangKind, Integer> unplaceableGangs = new HashMap<>();

  private record GangKind(
      Resources need,
      Priority priority,
      boolean spot,
      boolean scatter,
      boolean together,
      String zone,
      List<String> types) {
    static GangKind of(JobSpec spec) {
      return new GangKind(
          spec.need(),
          spec.priority(),
          spec.spotAllowed(),
          spec.scatter(),
          spec.together(),
          spec.zone(),
          spec.types());
    }
  }

  private List<MachineCapacity> withRoom = new ArrayList<>();
  private final long leastCpus;

  TaskPlacer(PlanBuilder builder) {
    this.builder = builder;
    long least = Long.MAX_VALUE;
    for (JobView job : builder.snapshot.jobs()) {
      least = Math.min(least, job.spec().need().cpus());
    }
    this.leastCpus = least;
    for (MachineCapacity machine : builder.machines) {
      if (machine.ready() && machine.freeCpus() >= leastCpus) {
        withRoom.add(machine);
      }
    }
  }

  private List<MachineCapacity> withRoom() {
    int full = 0;
    for (MachineCapacity machine : withRoom) {
      if (machine.freeCpus() < leastCpus) {
        full++;
      }
    }
    if (full * 4 > withRoom.size()) {
      List<MachineCapacity> left = new ArrayList<>(withRoom.size() - full);
      for (MachineCapacity machine : withRoom) {
        if (machine.freeCpus() >= leastCpus) {
          left.add(machine);
        }
      }
      withRoom = left;
    }
    return withRoom;
  }

  private boolean eligible(
      JobView job, MachineCapacity machine, int[] zones, int onlyZone, PlacementScope scope) {
    JobSpec spec = job.spec();
    return machine.fits(spec)
        && machine.allows(spec)
        && (onlyZone == PlanBuilder.ANY_ZONE || machine.zone == onlyZone)
        && PlanBuilder.zoneFits(spec, zones, machine.zone)
        && !PlanBuilder.avoided(job, machine)
        && (builder.within(scope, spec, machine) || machine.reservedFor(spec.id()));
  }

  private double score(JobSpec spec, MachineCapacity machine) {
    double score = builder.score(spec, machine);
    return machine.reservedFor(spec.id()) ? score - RESERVED_S : score;
  }

  private PriorityQueue<Choice> choices(
      JobView job, int[] zones, int onlyZone, PlacementScope scope) {
    PriorityQueue<Choice> out =
        new PriorityQueue<>(
            (a, b) -> {
              int byScore = Double.compare(a.score, b.score);
              return byScore != 0 ? byScore : Integer.compare(a.order, b.order);
            });
    int order = 0;
    for (MachineCapacity machine : withRoom()) {
      order++;
      builder.countEvaluation();
      if (eligible(job, machine, zones, onlyZone, scope)) {
        out.add(new Choice(machine, order, score(job.spec(), machine)));
      }
    }
    return out;
  }

  /** Places up to so many tasks, from a position among the pending ones on; says how many. */
  int place(JobView job, int from, int most, PlacementScope scope) {
    int wanted = Math.min(most, job.pending().size() - from);
    if (wanted <= 0 || unplaceable.holds(job, scope, false)) {
      return 0;
    }
    JobSpec spec = job.spec();
    int[] zones = builder.zones(job);
    List<Integer> tasks = new ArrayList<>();
    List<MachineId> machines = new ArrayList<>();
    PriorityQueue<Choice> choices = choices(job, zones, PlanBuilder.ANY_ZONE, scope);
    while (tasks.size() < wanted && !choices.isEmpty()) {
      Choice best = choices.poll();
      MachineCapacity machine = best.machine;
      machine.take(spec);
      zones[machine.zone]++;
      tasks.add(job.pending().getInt(from + tasks.size()));
      machines.add(machine.view.id());
      builder.countEvaluation();
      // A zone may be full by now, so the next in line is looked at again as well.
      if (eligible(job, machine, zones, PlanBuilder.ANY_ZONE, scope)) {
        choices.add(new Choice(machine, best.order, score(spec, machine)));
      }
      while (!choices.isEmpty()
          && !PlanBuilder.zoneFits(spec, zones, choices.peek().machine.zone)) {
        choices.poll();
      }
    }
    if (tasks.size() < wanted) {
      unplaceable.note(job, zones, scope, false);
    }
    if (!tasks.isEmpty()) {
      builder.charge(spec, tasks.size());
      builder.plan.places().add(new Plan.Place(spec.id(), tasks, machines));
    }
    return tasks.size();
  }

  /**
   * Places a whole gang or nothing of it, in the zone where its last task has its image first: all
   * wait for that one.
   */
  boolean placeGang(JobView job) {
    JobSpec spec = job.spec();
    GangKind kind = GangKind.of(spec);
    boolean ownPlaces = job.reservedTasks() > 0;
    if (!ownPlaces && spec.tasks() >= unplaceableGangs.getOrDefault(kind, Integer.MAX_VALUE)) {
      return false;
    }
    List<MachineCapacity> best = null;
    double soonest = Double.MAX_VALUE;
    for (int zone : PlanBuilder.zonesToTry(job)) {
      List<MachineCapacity> found = findGang(job, zone);
      double last = 0;
      for (MachineCapacity machine : found) {
        last = Math.max(last, builder.fetchSeconds(spec, machine));
      }
      if (!found.isEmpty() && last < soonest) {
        soonest = last;
        best = found;
      }
    }
    if (best == null) {
      if (!ownPlaces && job.avoid().isEmpty()) {
        unplaceableGangs.merge(kind, spec.tasks(), Math::min);
      }
      return false;
    }
    List<Integer> tasks = new ArrayList<>();
    List<MachineId> machines = new ArrayList<>();
    for (MachineCapacity machine : best) {
      machine.take(spec);
      tasks.add(tasks.size());
      machines.add(machine.view.id());
    }
    builder.charge(spec, spec.tasks());
    builder.plan.places().add(new Plan.Place(spec.id(), tasks, machines));
    return true;
  }

  /** Machines for each task of a gang, or none where not all find room; nothing is taken yet. */
  private List<MachineCapacity> findGang(JobView job, int zone) {
    JobSpec spec = job.spec();
    int[] zones = new int[job.zoneOpen().size()];
    PriorityQueue<Choice> choices = choices(job, zones, zone, PlacementScope.PLAIN);
    List<MachineCapacity> found = new ArrayList<>();
    while (found.size() < spec.tasks() && !choices.isEmpty()) {
      Choice best = choices.poll();
      best.machine.reserve(spec);
      zones[best.machine.zone]++;
      found.add(best.machine);
      builder.countEvaluation();
      if (eligible(job, best.machine, zones, zone, PlacementScope.PLAIN)) {
        choices.add(new Choice(best.machine, best.order, score(spec, best.machine)));
      }
      while (!choices.isEmpty()
          && !PlanBuilder.zoneFits(spec, zones, choices.peek().machine.zone)) {
        choices.poll();
      }
    }
    found.forEach(machine -> machine.giveBack(spec));
    return found.size() < spec.tasks() ? List.of() : found;
  }
}
