package org.ternhinge.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.schedule.Snapshot.AttemptView;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.wire.JobSpec;

/**
 * Moves replicas of services, a few at a time, from accelerated machines on which nothing else runs
 * any more to cheaper room. A service is placed next to tasks with accelerators and stays when
 * these have ended: eighty machines of the most expensive type were kept for half a day for one
 * replica each.
 */
final class Consolidation {
  /** Share of all replicas that may be moving at one time, as they are down meanwhile. */
  private static final double MOVING_SHARE = 0.002;

  /** Seconds that a replica runs at least before it is moved. */
  private static final double MIN_RUNNING_S = 60;

  /** Cost of the new place, relative to the present one, above which a move is not worthwhile. */
  private static final double MAX_COST_RATIO = 0.6;

  /** Evaluations that a round may take for consolidation, which is never urgent. */
  private static final int MAX_EVALUATIONS = Planner.MAX_EVALUATIONS / 4;

  private final PlanBuilder builder;

  /** The number of replicas of each service in each zone. */
  private final IdentityHashMap<JobSpec, int[]> replicasByZone = new IdentityHashMap<>();

  private final int zoneCount;

  /** Machines with room for a replica. */
  private final List<MachineCapacity> targets = new ArrayList<>();

  /**
   * Searches that found no place. Sources come in order of falling cost and room only gets less, so
   * the next search for the same service and zone finds none either. Without this record the
   * searches were three quarters of a leader's work at 1,700 machines.
   */
  private final Set<Search> failedSearches = new HashSet<>();

  /** Evaluations that this round has taken for consolidation. */
  private long evaluations;

  /** Replicas that are stopping, starting or pending. */
  private int moving;

  /** How many more replicas this round may move. */
  private int movesLeft;

  private record Search(JobId service, int fromZone) {}

  Consolidation(PlanBuilder builder) {
    this.builder = builder;
    int lastZone = 0;
    for (MachineCapacity machine : builder.machines()) {
      lastZone = Math.max(lastZone, machine.zone());
    }
    for (Snapshot.Offer offer : builder.snapshot().offers()) {
      lastZone = Math.max(lastZone, offer.zone());
    }
    this.zoneCount = lastZone + 1;
  }

  private static double price(MachineCapacity machine) {
    return machine.machineType().price(machine.spot());
  }

  /** The price of a machine divided by its replicas. */
  private static double pricePerReplica(MachineCapacity machine) {
    return price(machine) / machine.view().attempts().size();
  }

  /** Whether only services run on an accelerated machine, all of which may be moved now. */
  private boolean isSource(MachineCapacity machine) {
    if (!machine.ready()
        || machine.used()
        || machine.machineType().capacity().gpus() == 0
        || machine.view().attempts().isEmpty()
        || !machine.view().reservations().isEmpty()) {
      return false;
    }
    MonotonicTime now = builder.snapshot().now();
    for (AttemptView attempt : machine.view().attempts()) {
      if (!attempt.spec().isService()
          || attempt.stopping()
          || attempt.runningSince() == null
          || now.secondsSince(attempt.runningSince()) < MIN_RUNNING_S) {
        return false;
      }
    }
    return true;
  }

  /**
   * Moves the replicas that may move now. Nothing is provisioned for them: machines that were
   * provisioned for later moves idled, were released and were provisioned again.
   */
  void run() {
    List<MachineCapacity> sources = findSourcesAndTargets();
    sources.sort(Comparator.comparingDouble(Consolidation::pricePerReplica).reversed());
    for (MachineCapacity source : sources) {
      if (evaluations >= MAX_EVALUATIONS) {
        return;
      }
      // A used one is the target of another move.
      if (!source.used()) {
        moveFrom(source);
      }
    }
  }

  /** Counts the replicas, and finds the machines to move from and to. */
  private List<MachineCapacity> findSourcesAndTargets() {
    List<MachineCapacity> sources = new ArrayList<>();
    int replicas = 0;
    for (MachineCapacity machine : builder.machines()) {
      replicas += countReplicas(machine);
      if (isSource(machine)) {
        sources.add(machine);
      }
      if (machine.ready() && machine.freeCpus() > 0) {
        targets.add(machine);
      }
    }
    for (JobView job : builder.snapshot().jobs()) {
      moving += job.spec().isService() ? job.pendingCount() : 0;
    }
    movesLeft = (int) Math.ceil(replicas * MOVING_SHARE) - moving;
    return sources;
  }

  private int countReplicas(MachineCapacity machine) {
    int replicas = 0;
    for (AttemptView attempt : machine.view().attempts()) {
      if (attempt.spec().isService()) {
        replicas++;
        replicasByZone
            .computeIfAbsent(attempt.spec(), spec -> new int[zoneCount])[machine.zone()]++;
        moving += attempt.stopping() || attempt.runningSince() == null ? 1 : 0;
      }
    }
    return replicas;
  }

  private void moveFrom(MachineCapacity source) {
    for (AttemptView replica : source.view().attempts()) {
      Search search = new Search(replica.spec().id(), source.zone());
      if (failedSearches.contains(search)) {
        continue;
      }
      Optional<MachineCapacity> target = findTarget(replica, source);
      if (target.isPresent()) {
        move(replica, source, target.get());
      } else {
        failedSearches.add(search);
      }
    }
  }

  private void move(AttemptView replica, MachineCapacity source, MachineCapacity target) {
    JobSpec spec = replica.spec();
    replicasByZone.get(spec)[source.zone()]--;
    replicasByZone.get(spec)[target.zone()]++;
    // Room is reserved also for replicas that move in a later round, so that it is not released.
    target.reserve(spec);
    // A replica is down for seconds where its image has to be fetched, else for a moment: replicas
    // of the first kind move one at a time.
    boolean quick = target.hasImage(spec.image());
    if (quick ? movesLeft > 0 : moving == 0) {
      movesLeft--;
      moving++;
      builder.addPreemption(target, spec, List.of(replica));
    }
  }

  /** The machine with the best score among those that cost much less than the present one. */
  private Optional<MachineCapacity> findTarget(AttemptView replica, MachineCapacity source) {
    JobSpec spec = replica.spec();
    MachineCapacity best = null;
    double lowestScore = Double.MAX_VALUE;
    double maxCost = pricePerReplica(source) * MAX_COST_RATIO;
    for (MachineCapacity machine : targets) {
      evaluations++;
      builder.countEvaluation();
      if (machine == source
          || !machine.fits(spec)
          || !machine.allows(spec)
          || cost(machine, spec) > maxCost
          || !zoneAllows(spec, source, machine)) {
        continue;
      }
      double score = builder.score(spec, machine);
      if (score < lowestScore) {
        lowestScore = score;
        best = machine;
      }
    }
    return Optional.ofNullable(best);
  }

  /** The cost of a place; an accelerated machine is a target only if services alone run on it. */
  private static double cost(MachineCapacity machine, JobSpec spec) {
    double pricePerPlace =
        price(machine)
            / Math.max(1, spec.taskResources().countFittingIn(machine.machineType().capacity()));
    if (machine.machineType().capacity().gpus() == 0) {
      return pricePerPlace;
    }
    int services = 0;
    for (AttemptView attempt : machine.view().attempts()) {
      services += attempt.spec().isService() ? 1 : 0;
    }
    return services == machine.view().attempts().size() && services > 0
        ? price(machine) / (services + 1)
        : Double.MAX_VALUE;
  }

  /** Whether a scattered service may have another replica in the zone of a machine. */
  private boolean zoneAllows(JobSpec spec, MachineCapacity from, MachineCapacity to) {
    return from.zone() == to.zone()
        || !spec.spreadAcrossZones()
        || replicasByZone.get(spec)[to.zone()] < spec.maxTasksPerZone();
  }
}
