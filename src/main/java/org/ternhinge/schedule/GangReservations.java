package org.ternhinge.schedule;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot.AttemptView;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.wire.JobSpec;

/**
 * Room for gangs that don't fit into what is free. Others are stopped only when that makes room for
 * the whole gang. A gang that has waited long keeps the places that are free, or smaller ones that
 * come later would take each as it falls free, and the largest would never start.
 */
final class GangReservations {
  /**
   * A gang waits so long for each doubling of its size before it has others stopped or keeps
   * places. A large gang that gets room at once makes many small ones late and costs hundreds of
   * lesser tasks their work; the largest still begin within the four minutes that their users see.
   */
  private static final double PATIENCE_S = 20;

  /** Puts a zone without room for the whole gang behind all that have it. */
  private static final double INCOMPLETE_COST = 1e12;

  /** A place for one task; the victims have to be stopped for it. */
  record GangPlace(MachineCapacity machine, List<AttemptView> victims, double cost) {}

  /** Places for tasks of a gang in a zone, the cheapest first. */
  private record Candidate(int zone, List<GangPlace> places) {
    double cost() {
      double cost = 0;
      for (GangPlace place : places) {
        cost += place.cost;
      }
      return cost;
    }
  }

  /** Tasks that no place is in sight for; the zones count the places that are. */
  record Missing(int tasks, IntList zones) {}

  private final PlanBuilder builder;
  private final Preemption preemption;
  private final List<JobView> patientGangs = new ArrayList<>();
  private final Map<Resources, List<MachineCapacity>> hosts = new HashMap<>();

  GangReservations(PlanBuilder builder, Preemption preemption) {
    this.builder = builder;
    this.preemption = preemption;
  }

  /** Stops others for a whole gang; otherwise says what is missing. */
  Missing makeRoom(JobView job) {
    JobSpec spec = job.spec();
    boolean mayStop = spec.tasks() == 1 || job.late();
    Candidate best = bestZone(job, mayStop);
    if (best.places.size() == spec.tasks() && mayStop) {
      best.places.forEach(place -> claim(job, place));
      return null;
    }
    boolean patient = job.ageS() < patienceS(spec);
    if (patient) {
      patientGangs.add(job);
    }
    return missing(job, best, patient);
  }

  /** The cheapest zone for the whole gang; if none holds it, the one where least is missing. */
  private Candidate bestZone(JobView job, boolean mayStop) {
    Candidate best = new Candidate(PlanBuilder.ANY_ZONE, List.of());
    double least = Double.MAX_VALUE;
    for (int zone : PlanBuilder.zonesToTry(job)) {
      Candidate candidate = new Candidate(zone, gangPlaces(job, zone, mayStop));
      int missing = job.spec().tasks() - candidate.places.size();
      double cost = missing == 0 ? candidate.cost() : INCOMPLETE_COST * (1 + missing);
      if (cost < least) {
        least = cost;
        best = candidate;
      }
    }
    return best;
  }

  private static double patienceS(JobSpec spec) {
    int doublings = Integer.numberOfTrailingZeros(Integer.highestOneBit(spec.tasks()));
    return PATIENCE_S * doublings;
  }

  /**
   * Gangs that are still patient let other gangs by, but not lesser arrays: those filled the
   * machines that were provisioned for a gang as they came up, and then had to be stopped by
   * hundreds.
   */
  void reserveForPatientGangs() {
    for (JobView job : patientGangs) {
      for (GangPlace place : mostPlaces(job)) {
        place.machine.stop(job.spec(), List.of());
      }
    }
    patientGangs.clear();
  }

  private List<GangPlace> mostPlaces(JobView job) {
    List<GangPlace> most = List.of();
    int free = -1;
    for (int zone : PlanBuilder.zonesToTry(job)) {
      List<GangPlace> gangPlaces = gangPlaces(job, zone, false);
      if (gangPlaces.size() > free) {
        free = gangPlaces.size();
        most = gangPlaces;
      }
    }
    return most;
  }

  private void claim(JobView job, GangPlace place) {
    JobSpec spec = job.spec();
    List<Plan.Victim> victims = new ArrayList<>();
    for (AttemptView attempt : place.victims) {
      victims.add(new Plan.Victim(attempt.spec().id(), attempt.index()));
    }
    builder
        .plan
        .stops()
        .add(new Plan.Stop(place.machine.view.id(), spec.id(), spec.need(), victims));
    place.machine.stop(spec, place.victims);
  }

  private Missing missing(JobView job, Candidate best, boolean patient) {
    JobSpec spec = job.spec();
    int[] zones = new int[job.zoneOpen().size()];
    int free = 0;
    for (GangPlace place : best.places) {
      if (place.victims.isEmpty()) {
        free++;
        if (!patient) {
          place.machine.stop(spec, List.of());
        }
      }
    }
    if (best.zone != PlanBuilder.ANY_ZONE) {
      zones[best.zone] = free;
    }
    return new Missing(spec.tasks() - free, IntArrayList.wrap(zones));
  }

  private List<GangPlace> gangPlaces(JobView job, int zone, boolean stops) {
    JobSpec spec = job.spec();
    List<GangPlace> out = new ArrayList<>();
    for (MachineCapacity machine : hosts(spec)) {
      if ((zone == PlanBuilder.ANY_ZONE || machine.zone == zone)
          && machine.allows(spec)
          && (stops || machine.freeCpus() >= spec.need().cpus())
          && !PlanBuilder.avoided(job, machine)) {
        builder.countEvaluation();
        preemption.places(job, machine, stops, out);
      }
    }
    // Places of one machine come in the order in which they were found, for they cost more and
    // more.
    out.sort(Comparator.comparingDouble(GangPlace::cost));
    return out.size() > spec.tasks() ? out.subList(0, spec.tasks()) : out;
  }

  /** Machines that are large enough, the same for all gangs whose tasks need the same. */
  private List<MachineCapacity> hosts(JobSpec spec) {
    return hosts.computeIfAbsent(
        spec.need(),
        need -> {
          List<MachineCapacity> out = new ArrayList<>();
          for (MachineCapacity machine : builder.machines) {
            builder.countEvaluation();
            if (machine.ready() && need.fitsIn(machine.machineType.capacity())) {
              out.add(machine);
            }
          }
          return out;
        });
  }
}
