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
 * Moves service replicas, a few at a time, from accelerated machines that run only services to
 * cheaper machines. A service that was placed next to tasks with accelerators remains after these
 * have ended: without consolidation, eighty machines of the most expensive type were kept for half
 * a day for one replica each.
 */
final class Consolidation {
  /** Maximum share of all replicas that move at the same time; a replica is down while it moves. */
  private static final double MAX_MOVING_SHARE = 0.002;

  /** Minimum running time of a replica before it is moved, in seconds. */
  private static final double MIN_RUNNING_S = 60;

  /** Maximum cost of the target relative to the source for which a move is worthwhile. */
  private static final double MAX_COST_RATIO = 0.6;

  /** Maximum evaluations per round for consolidation, which is never urgent. */
  private static final int MAX_EVALUATIONS = Planner.MAX_EVALUATIONS / 4;

  private final PlanBuilder builder;

  /** The number of replicas of each service in each zone. */
  private final IdentityHashMap<JobSpec, int[]> replicasByZone = new IdentityHashMap<>();

  private final int zoneCount;

  /** Ready machines with free CPU. */
  private final List<MachineCapacity> targets = new ArrayList<>();

  /**
   * Searches that found no target. Sources are processed by descending cost and free room only
   * shrinks, so a later search for the same service and zone can't succeed either. Without this
   * set, the searches took three quarters of the leader's processor time at 1,700 machines.
   */
  private final Set<Search> failedSearches = new HashSet<>();

  /** Evaluations done for consolidation in this round. */
  private long evaluations;

  /** Number of replicas that are stopping, starting or pending. */
  private int movingCount;

  /** Number of replicas that this round may still move. */
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

  /** The price of a machine divided by the number of replicas on it. */
  private static double pricePerReplica(MachineCapacity machine) {
    return price(machine) / machine.view().attempts().size();
  }

  /** Whether a machine is accelerated and runs only service replicas that may be moved now. */
  private boolean isSource(MachineCapacity machine) {
    if (!machine.ready()
        || machine.usedByPlan()
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
   * Adds the moves of this round to the plan. No machines are provisioned for moves: machines that
   * were provisioned for later moves stayed idle, were released and were provisioned again.
   */
  void run() {
    List<MachineCapacity> sources = findSourcesAndTargets();
    sources.sort(Comparator.comparingDouble(Consolidation::pricePerReplica).reversed());
    for (MachineCapacity source : sources) {
      if (evaluations >= MAX_EVALUATIONS) {
        return;
      }
      // A source that is in use by now has become the target of another move.
      if (!source.usedByPlan()) {
        moveFrom(source);
      }
    }
  }

  /** Counts replicas, collects the targets and returns the sources. */
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
      movingCount += job.spec().isService() ? job.pendingCount() : 0;
    }
    movesLeft = (int) Math.ceil(replicas * MAX_MOVING_SHARE) - movingCount;
    return sources;
  }

  private int countReplicas(MachineCapacity machine) {
    int replicas = 0;
    for (AttemptView attempt : machine.view().attempts()) {
      if (attempt.spec().isService()) {
        replicas++;
        replicasByZone
            .computeIfAbsent(attempt.spec(), spec -> new int[zoneCount])[machine.zone()]++;
        movingCount += attempt.stopping() || attempt.runningSince() == null ? 1 : 0;
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
    // Reserves room for replicas that move in a later round too, so that it is not released.
    target.reserve(spec);
    // A replica is down for several seconds if the target has to fetch its image. Such replicas
    // move one at a time.
    boolean imageCached = target.hasImage(spec.image());
    if (imageCached ? movesLeft > 0 : movingCount == 0) {
      movesLeft--;
      movingCount++;
      builder.addPreemption(target, spec, List.of(replica));
    }
  }

  /** The machine with the best score among those that cost less than the maximum. */
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

  /** The cost of one replica on a machine; prohibitive if it also runs accelerator tasks. */
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

  /** Whether a move keeps a scattered service within its limit of replicas for each zone. */
  private boolean zoneAllows(JobSpec spec, MachineCapacity from, MachineCapacity to) {
    return from.zone() == to.zone()
        || !spec.spreadAcrossZones()
        || replicasByZone.get(spec)[to.zone()] < spec.maxTasksPerZone();
  }
}
