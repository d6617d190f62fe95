package org.ternhinge.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import org.ternhinge.model.JobId;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.schedule.Snapshot.AttemptView;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.wire.JobSpec;

/**
 * Moves services that lie spread over accelerated machines to where their room costs less, a few at
 * a time. A service takes the room beside accelerated tasks and stays when they have ended: eighty
 * machines of the dearest type were kept through half a day for one replica each.
 */
final class Consolidation {
  /** Part of all replicas that may be on the move: their users miss them meanwhile. */
  private static final double MOVING_SHARE = 0.002;

  /** A replica that has just come is left alone; its start would not count for its users. */
  private static final double SETTLED_S = 60;

  /** A place has to cost less than this part of the present one to be worth a move. */
  private static final double WORTH = 0.6;

  /** Candidate evaluations that a round may take for this: it can wait, others can't. */
  private static final int MAX_EVALUATIONS = Planner.MAX_EVALUATIONS / 4;

  private final PlanBuilder builder;

  /** Replicas of each service by zone. */
  private final IdentityHashMap<JobSpec, int[]> zones = new IdentityHashMap<>();

  private final int zoneCount;

  /** Machines with room that could take a replica. */
  private final List<MachineCapacity> targets = new ArrayList<>();

  /**
   * Replicas of which service, from which zone, have found no place: the sources come with the
   * dearest first and room only gets less, so the next one from there finds none either. When each
   * replica on each accelerated machine asked each machine in every round, that was three quarters
   * of a leader's work at 1,700 machines.
   */
  private final Set<Failed> failed = new HashSet<>();

  private long evaluations;

  /** Replicas that are on the move or wait for a place. */
  private int moving;

  /** How many more replicas may be moved in this round. */
  private int movesLeft;

  private record Failed(JobId service, int zone) {}

  Consolidation(PlanBuilder builder) {
    this.builder = builder;
    int most = 0;
    for (MachineCapacity machine : builder.machines) {
      most = Math.max(most, machine.zone);
    }
    for (Snapshot.Offer offer : builder.snapshot.offers()) {
      most = Math.max(most, offer.zone());
    }
    this.zoneCount = most + 1;
  }

  private static double price(MachineCapacity machine) {
    return machine.machineType.price(machine.spot);
  }

  /** What one replica costs on a machine that holds nothing else. */
  private static double share(MachineCapacity machine) {
    return price(machine) / machine.view.attempts().size();
  }

  private boolean movable(MachineCapacity machine) {
    if (!machine.ready()
        || machine.used()
        || machine.machineType.capacity().gpus() == 0
        || machine.view.attempts().isEmpty()
        || !machine.view.reservations().isEmpty()) {
      return false;
    }
    SteadyTime now = builder.snapshot.now();
    for (AttemptView attempt : machine.view.attempts()) {
      if (!attempt.spec().isService()
          || attempt.stopping()
          || attempt.runningSince() == null
          || now.secondsSince(attempt.runningSince()) < SETTLED_S) {
        return false;
      }
    }
    return true;
  }

  /**
   * Moves what may move now. Nothing is provisioned for it: machines provisioned for replicas that
   * had to wait for their move idled, were returned and were provisioned again.
   */
  void run() {
    List<MachineCapacity> sources = survey();
    sources.sort(Comparator.comparingDouble(Consolidation::share).reversed());
    for (MachineCapacity source : sources) {
      if (evaluations >= MAX_EVALUATIONS) {
        return;
      }
      // Otherwise something moves here already.
      if (!source.used()) {
        moveFrom(source);
      }
    }
  }

  /** Counts replicas and those on the move, and finds the machines to move from and to. */
  private List<MachineCapacity> survey() {
    List<MachineCapacity> sources = new ArrayList<>();
    int replicas = 0;
    for (MachineCapacity machine : builder.machines) {
      replicas += countReplicas(machine);
      if (movable(machine)) {
        sources.add(machine);
      }
      if (machine.ready() && machine.freeCpus() > 0) {
        targets.add(machine);
      }
    }
    for (JobView job : builder.snapshot.jobs()) {
      moving += job.spec().isService() ? job.waiting() : 0;
    }
    movesLeft = (int) Math.ceil(replicas * MOVING_SHARE) - moving;
    return sources;
  }

  private int countReplicas(MachineCapacity machine) {
    int replicas = 0;
    for (AttemptView attempt : machine.view.attempts()) {
      if (attempt.spec().isService()) {
        replicas++;
        zones.computeIfAbsent(attempt.spec(), spec -> new int[zoneCount])[machine.zone]++;
        moving += attempt.stopping() || attempt.runningSince() == null ? 1 : 0;
      }
    }
    return replicas;
  }

  private void moveFrom(MachineCapacity source) {
    for (AttemptView replica : source.view.attempts()) {
      Failed search = new Failed(replica.spec().id(), source.zone);
      if (failed.contains(search)) {
        continue;
      }
      MachineCapacity target = target(replica, source);
      if (target == null) {
        failed.add(search);
      } else {
        move(replica, source, target);
      }
    }
  }

  private void move(AttemptView replica, MachineCapacity source, MachineCapacity target) {
    JobSpec spec = replica.spec();
    zones.get(spec)[source.zone]--;
    zones.get(spec)[target.zone]++;
    // Room is kept also for those whose turn comes later, so that it is not returned.
    target.stop(spec, List.of());
    // Where the image has to be fetched a replica is missed for seconds, not for a moment: then
    // only one moves at a time.
    boolean quick = target.hasImage(spec.image());
    if (quick ? movesLeft > 0 : moving == 0) {
      movesLeft--;
      moving++;
      Plan.Victim victim = new Plan.Victim(spec.id(), replica.index());
      builder
          .plan
          .stops()
          .add(new Plan.Stop(target.view.id(), spec.id(), spec.need(), List.of(victim)));
    }
  }

  private MachineCapacity target(AttemptView replica, MachineCapacity source) {
    JobSpec spec = replica.spec();
    MachineCapacity best = null;
    double least = Double.MAX_VALUE;
    double most = share(source) * WORTH;
    for (MachineCapacity machine : targets) {
      evaluations++;
      builder.countEvaluation();
      if (machine == source
          || !machine.fits(spec)
          || !machine.allows(spec)
          || cost(machine, spec) > most
          || !zoneAllows(spec, source, machine)) {
        continue;
      }
      double score = builder.score(spec, machine);
      if (score < least) {
        least = score;
        best = machine;
      }
    }
    return best;
  }

  /** What a place costs: nothing more on a machine that services keep anyhow. */
  private static double cost(MachineCapacity machine, JobSpec spec) {
    double whole =
        price(machine) / Math.max(1, spec.need().timesIn(machine.machineType.capacity()));
    if (machine.machineType.capacity().gpus() == 0) {
      return whole;
    }
    int services = 0;
    for (AttemptView attempt : machine.view.attempts()) {
      services += attempt.spec().isService() ? 1 : 0;
    }
    return services == machine.view.attempts().size() && services > 0
        ? price(machine) / (services + 1)
        : Double.MAX_VALUE;
  }

  private boolean zoneAllows(JobSpec spec, MachineCapacity from, MachineCapacity to) {
    return from.zone == to.zone || !spec.scatter() || zones.get(spec)[to.zone] < spec.zoneLimit();
  }
}
