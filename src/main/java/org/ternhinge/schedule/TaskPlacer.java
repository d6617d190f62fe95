package org.ternhinge.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import org.ternhinge.model.MachineId;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.schedule.UnplaceableRequests.Search;
import org.ternhinge.wire.JobSpec;

/**
 * Places tasks in free room. Each job is evaluated once against each machine with room and then
 * fills the machines with the best scores. Evaluating every task against every machine took a whole
 * round with hundreds of machines and arrays of hundreds of tasks.
 */
final class TaskPlacer {
  /** Bonus, in seconds, for room that is reserved for the job. */
  private static final double RESERVATION_BONUS_S = 1000;

  /**
   * A machine on which a task may be placed.
   *
   * @param order position in the search, which breaks ties between equal scores
   */
  private record Candidate(MachineCapacity machine, int order, double score) {}

  /** The parameters of a search. */
  private static final class Query {
    private final JobView job;

    /** Number of the job's tasks in each zone, updated as the search finds machines. */
    private final int[] tasksByZone;

    /** The zone to search, or {@link PlanBuilder#ANY_ZONE}. */
    private final int onlyZone;

    private final PlacementScope scope;

    Query(JobView job, int[] tasksByZone, int onlyZone, PlacementScope scope) {
      this.job = job;
      this.tasksByZone = tasksByZone;
      this.onlyZone = onlyZone;
      this.scope = scope;
    }

    boolean zoneAllows(MachineCapacity machine) {
      return (onlyZone == PlanBuilder.ANY_ZONE || machine.zone() == onlyZone)
          && PlanBuilder.zoneAllows(job.spec(), tasksByZone, machine.zone());
    }
  }

  private static final Comparator<Candidate> BEST_FIRST =
      (a, b) -> {
        int byScore = Double.compare(a.score, b.score);
        return byScore != 0 ? byScore : Integer.compare(a.order, b.order);
      };

  private final PlanBuilder builder;
  private final UnplaceableRequests unplaceable = new UnplaceableRequests(Search.FREE_ROOM);

  /** Size of the smallest gang of each shape for which there was no room in this round. */
  private final Map<TaskShape, Integer> unplaceableGangs = new HashMap<>();

  private final MachinesWithRoom machinesWithRoom;

  TaskPlacer(PlanBuilder builder) {
    this.builder = builder;
    this.machinesWithRoom =
        new MachinesWithRoom(PlanBuilder.smallestRequestCpus(builder.snapshot().jobs()));
    for (MachineCapacity machine : builder.machines()) {
      if (machine.ready() && !machinesWithRoom.isFull(machine)) {
        machinesWithRoom.add(machine);
      }
    }
  }

  /**
   * Places pending tasks of a job.
   *
   * @param firstIndex position of the first task to place among the job's pending tasks
   * @param maxTasks maximum number of tasks to place
   * @return number of tasks placed
   */
  int place(JobView job, int firstIndex, int maxTasks, PlacementScope scope) {
    int wanted = Math.min(maxTasks, job.pendingTasks().size() - firstIndex);
    if (wanted <= 0 || unplaceable.contains(job, scope)) {
      return 0;
    }
    int[] tasksByZone = builder.tasksByZone(job);
    Query query = new Query(job, tasksByZone, PlanBuilder.ANY_ZONE, scope);
    List<MachineCapacity> found = search(query, wanted, MachineCapacity::place);
    if (found.size() < wanted) {
      unplaceable.add(job, tasksByZone, scope);
    }
    if (!found.isEmpty()) {
      List<Integer> tasks = new ArrayList<>(found.size());
      for (int i = 0; i < found.size(); i++) {
        tasks.add(job.pendingTasks().getInt(firstIndex + i));
      }
      builder.place(job.spec(), tasks, ids(found));
    }
    return found.size();
  }

  /**
   * Places either all tasks of a gang or none. If the gang has to stay in one zone, chooses the
   * zone in which the slowest image fetch ends first, because all tasks wait for the last one.
   *
   * @return whether the gang was placed
   */
  boolean placeGang(JobView job) {
    JobSpec spec = job.spec();
    TaskShape shape = new TaskShape(spec.taskResources(), PlacementConstraints.of(spec));
    boolean reserved = job.reservedTasks() > 0;
    if (!reserved && spec.tasks() >= unplaceableGangs.getOrDefault(shape, Integer.MAX_VALUE)) {
      return false;
    }
    List<MachineCapacity> best = findBestMachines(job);
    if (best.isEmpty()) {
      if (!reserved && job.avoidedMachines().isEmpty()) {
        unplaceableGangs.merge(shape, spec.tasks(), Math::min);
      }
      return false;
    }
    List<Integer> tasks = new ArrayList<>(best.size());
    for (MachineCapacity machine : best) {
      machine.place(spec);
      tasks.add(tasks.size());
    }
    builder.place(spec, tasks, ids(best));
    return true;
  }

  private static List<MachineId> ids(List<MachineCapacity> machines) {
    List<MachineId> ids = new ArrayList<>(machines.size());
    for (MachineCapacity machine : machines) {
      ids.add(machine.view().id());
    }
    return ids;
  }

  /** The machines in the zone with the fastest image fetch; empty if no zone has room. */
  private List<MachineCapacity> findBestMachines(JobView job) {
    List<MachineCapacity> best = List.of();
    double shortestFetchS = Double.MAX_VALUE;
    for (int zone : PlanBuilder.candidateZones(job)) {
      List<MachineCapacity> found = findMachinesInZone(job, zone);
      double slowestFetchS = 0;
      for (MachineCapacity machine : found) {
        slowestFetchS = Math.max(slowestFetchS, builder.imageFetchS(job.spec(), machine));
      }
      if (!found.isEmpty() && slowestFetchS < shortestFetchS) {
        shortestFetchS = slowestFetchS;
        best = found;
      }
    }
    return best;
  }

  /** A machine for each task of a gang, or none if there is not enough room. Places nothing. */
  private List<MachineCapacity> findMachinesInZone(JobView job, int zone) {
    JobSpec spec = job.spec();
    int[] tasksByZone = new int[job.openByZone().size()];
    Query query = new Query(job, tasksByZone, zone, PlacementScope.STANDARD);
    List<MachineCapacity> found = search(query, spec.tasks(), MachineCapacity::allocate);
    for (MachineCapacity machine : found) {
      machine.deallocate(spec);
    }
    return found.size() < spec.tasks() ? List.of() : found;
  }

  /**
   * Finds a machine for each of several tasks, in order of score.
   *
   * @param wanted number of tasks
   * @param allocate allocates a task on a machine that was found
   * @return the machines; fewer than wanted if there is not enough room
   */
  private List<MachineCapacity> search(
      Query query, int wanted, BiConsumer<MachineCapacity, JobSpec> allocate) {
    JobSpec spec = query.job.spec();
    PriorityQueue<Candidate> candidates = candidates(query);
    List<MachineCapacity> found = new ArrayList<>();
    while (found.size() < wanted && !candidates.isEmpty()) {
      Candidate best = candidates.poll();
      MachineCapacity machine = best.machine;
      allocate.accept(machine, spec);
      query.tasksByZone[machine.zone()]++;
      found.add(machine);
      builder.countEvaluation();
      if (isEligible(query, machine)) {
        candidates.add(new Candidate(machine, best.order, score(spec, machine)));
      }
      // The zone may have reached its limit of tasks with this one.
      while (!candidates.isEmpty() && !query.zoneAllows(candidates.peek().machine)) {
        candidates.poll();
      }
    }
    return found;
  }

  private PriorityQueue<Candidate> candidates(Query query) {
    PriorityQueue<Candidate> candidates = new PriorityQueue<>(BEST_FIRST);
    machinesWithRoom.removeFullIfMany();
    int order = 0;
    for (MachineCapacity machine : machinesWithRoom.all()) {
      order++;
      builder.countEvaluation();
      if (isEligible(query, machine)) {
        candidates.add(new Candidate(machine, order, score(query.job.spec(), machine)));
      }
    }
    return candidates;
  }

  private boolean isEligible(Query query, MachineCapacity machine) {
    JobSpec spec = query.job.spec();
    return machine.fits(spec)
        && machine.allows(spec)
        && query.zoneAllows(machine)
        && !PlanBuilder.isAvoided(query.job, machine)
        && (builder.scopePermits(query.scope, spec, machine)
            || machine.hasReservationFor(spec.id()));
  }

  private double score(JobSpec spec, MachineCapacity machine) {
    double score = builder.score(spec, machine);
    return machine.hasReservationFor(spec.id()) ? score - RESERVATION_BONUS_S : score;
  }
}
