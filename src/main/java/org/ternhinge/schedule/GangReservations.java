package org.ternhinge.schedule;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot.AttemptView;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.wire.JobSpec;

/**
 * Makes room for gangs that do not fit into the free room. Others are preempted only where that
 * makes room for the whole gang. A gang that has waited long reserves free places, or smaller jobs
 * that come later would take each as it becomes free, and the largest gang would never start.
 */
final class GangReservations {
  /**
   * Seconds that a gang waits, for each doubling of its size, before it preempts others or reserves
   * places. A large gang that gets room at once makes many small ones late and costs hundreds of
   * lesser tasks their work; the largest still start within the four minutes that users expect.
   */
  private static final double PATIENCE_S = 20;

  /** Makes a zone without room for the whole gang cost more than all that have it. */
  private static final double INCOMPLETE_COST = 1e12;

  /** A place for one task, and the attempts to preempt for it. */
  record GangPlace(MachineCapacity machine, List<AttemptView> victims, double cost) {}

  /** Places for tasks of a gang in a zone, the cheapest first. */
  private record ZonePlaces(int zone, List<GangPlace> places) {
    double cost() {
      double cost = 0;
      for (GangPlace place : places) {
        cost += place.cost;
      }
      return cost;
    }
  }

  /**
   * What a gang lacks.
   *
   * @param tasks tasks without a free place
   * @param tasksByZone tasks with a free place in each zone
   */
  record Missing(int tasks, IntList tasksByZone) {}

  private final PlanBuilder builder;
  private final PreemptionPlanner preemption;
  private final List<JobView> patientGangs = new ArrayList<>();
  private final Map<Resources, List<MachineCapacity>> hostsByNeed = new HashMap<>();

  GangReservations(PlanBuilder builder, PreemptionPlanner preemption) {
    this.builder = builder;
    this.preemption = preemption;
  }

  /**
   * Preempts others for a whole gang if that is possible and it has waited long enough. Otherwise
   * reserves the free places, unless the gang is still patient.
   *
   * @return what the gang lacks; empty where it will have room for all its tasks
   */
  Optional<Missing> reserveOrFindMissing(JobView job) {
    JobSpec spec = job.spec();
    boolean mayPreempt = spec.tasks() == 1 || job.overdue();
    ZonePlaces best = bestZone(job, mayPreempt);
    if (best.places.size() == spec.tasks() && mayPreempt) {
      for (GangPlace place : best.places) {
        builder.preempt(place.machine, spec, place.victims);
      }
      return Optional.empty();
    }
    boolean patient = job.waitedS() < patienceS(spec);
    if (patient) {
      patientGangs.add(job);
    } else {
      reserveFree(spec, best);
    }
    return Optional.of(missing(job, best));
  }

  /**
   * Reserves places for the gangs that are still patient. These let other gangs go first, but not
   * lesser arrays: arrays filled the machines that were provisioned for a gang as they came up, and
   * then had to be preempted in large numbers.
   */
  void reserveForPatientGangs() {
    for (JobView job : patientGangs) {
      for (GangPlace place : mostFreePlaces(job)) {
        place.machine.reserve(job.spec());
      }
    }
    patientGangs.clear();
  }

  /** The cheapest zone for the whole gang; if none holds it, the one where least is missing. */
  private ZonePlaces bestZone(JobView job, boolean mayPreempt) {
    ZonePlaces best = new ZonePlaces(PlanBuilder.ANY_ZONE, List.of());
    double lowestCost = Double.MAX_VALUE;
    for (int zone : PlanBuilder.candidateZones(job)) {
      ZonePlaces candidate = new ZonePlaces(zone, findPlaces(job, zone, mayPreempt));
      int missing = job.spec().tasks() - candidate.places.size();
      double cost = missing == 0 ? candidate.cost() : INCOMPLETE_COST * (1 + missing);
      if (cost < lowestCost) {
        lowestCost = cost;
        best = candidate;
      }
    }
    return best;
  }

  private static double patienceS(JobSpec spec) {
    int doublings = Integer.numberOfTrailingZeros(Integer.highestOneBit(spec.tasks()));
    return PATIENCE_S * doublings;
  }

  private List<GangPlace> mostFreePlaces(JobView job) {
    List<GangPlace> most = List.of();
    int mostCount = -1;
    for (int zone : PlanBuilder.candidateZones(job)) {
      List<GangPlace> places = findPlaces(job, zone, false);
      if (places.size() > mostCount) {
        mostCount = places.size();
        most = places;
      }
    }
    return most;
  }

  private static void reserveFree(JobSpec spec, ZonePlaces zone) {
    for (GangPlace place : zone.places) {
      if (place.victims.isEmpty()) {
        place.machine.reserve(spec);
      }
    }
  }

  private static Missing missing(JobView job, ZonePlaces best) {
    int[] tasksByZone = new int[job.openByZone().size()];
    int free = 0;
    for (GangPlace place : best.places) {
      if (place.victims.isEmpty()) {
        free++;
      }
    }
    if (best.zone != PlanBuilder.ANY_ZONE) {
      tasksByZone[best.zone] = free;
    }
    return new Missing(job.spec().tasks() - free, IntArrayList.wrap(tasksByZone));
  }

  /** The cheapest places in a zone, as many as the gang has tasks. */
  private List<GangPlace> findPlaces(JobView job, int zone, boolean mayPreempt) {
    JobSpec spec = job.spec();
    List<GangPlace> places = new ArrayList<>();
    for (MachineCapacity machine : hosts(spec)) {
      if ((zone == PlanBuilder.ANY_ZONE || machine.zone() == zone)
          && machine.allows(spec)
          && (mayPreempt || machine.freeCpus() >= spec.taskResources().cpus())
          && !PlanBuilder.isAvoided(job, machine)) {
        builder.countEvaluation();
        preemption.addGangPlaces(job, machine, mayPreempt, places);
      }
    }
    // The sort is stable and a machine's later places cost more, so theirs is the order of finding.
    places.sort(Comparator.comparingDouble(GangPlace::cost));
    return places.size() > spec.tasks() ? places.subList(0, spec.tasks()) : places;
  }

  /** The machines that a task fits on when they are empty; shared by gangs of the same size. */
  private List<MachineCapacity> hosts(JobSpec spec) {
    return hostsByNeed.computeIfAbsent(spec.taskResources(), this::findHosts);
  }

  private List<MachineCapacity> findHosts(Resources need) {
    List<MachineCapacity> hosts = new ArrayList<>();
    for (MachineCapacity machine : builder.machines()) {
      builder.countEvaluation();
      if (machine.ready() && need.fitsIn(machine.machineType().capacity())) {
        hosts.add(machine);
      }
    }
    return hosts;
  }
}
