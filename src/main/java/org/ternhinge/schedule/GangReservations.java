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
 * Makes room for gangs that do not fit into the free room. Tasks are preempted only if that makes
 * room for the whole gang. A gang that has waited long enough reserves free slots. Otherwise
 * smaller jobs that arrive later would take each slot as it becomes free, and the largest gang
 * would never start.
 */
final class GangReservations {
  /**
   * Seconds that a gang waits, for each doubling of its size, before it reserves slots. If a large
   * gang got room at once, many small gangs would start late and hundreds of lower-priority tasks
   * would lose their work. With this delay, the largest gangs still start within the four minutes
   * that users expect.
   */
  private static final double RESERVATION_DELAY_PER_DOUBLING_S = 20;

  /** Cost factor of zones without room for the whole gang; exceeds any cost of one with room. */
  private static final double INCOMPLETE_COST = 1e12;

  /** Room for one task on a machine, and the attempts to preempt for it. */
  record GangSlot(MachineCapacity machine, List<AttemptView> victims, double cost) {}

  /** The slots found for a gang in a zone, the cheapest first. */
  private record ZoneSlots(int zone, List<GangSlot> slots) {
    double cost() {
      double cost = 0;
      for (GangSlot slot : slots) {
        cost += slot.cost;
      }
      return cost;
    }
  }

  /**
   * The part of a gang that has no room yet.
   *
   * @param tasks number of tasks without a free slot
   * @param tasksByZone number of tasks with a free slot in each zone
   */
  record Shortfall(int tasks, IntList tasksByZone) {}

  private final PlanBuilder builder;
  private final PreemptionPlanner preemption;
  private final List<JobView> deferredGangs = new ArrayList<>();
  private final Map<Resources, List<MachineCapacity>> hostsByNeed = new HashMap<>();

  GangReservations(PlanBuilder builder, PreemptionPlanner preemption) {
    this.builder = builder;
    this.preemption = preemption;
  }

  /**
   * Preempts tasks to make room for a whole gang if the gang is overdue and enough tasks can be
   * preempted; a gang of one task need not be overdue. Otherwise reserves the free slots, or defers
   * the reservation if the gang has not waited long enough.
   *
   * @return the part of the gang without room; empty if there will be room for all its tasks
   */
  Optional<Shortfall> preemptOrReserve(JobView job) {
    JobSpec spec = job.spec();
    boolean mayPreempt = spec.tasks() == 1 || job.overdue();
    ZoneSlots best = bestZone(job, mayPreempt);
    if (best.slots.size() == spec.tasks() && mayPreempt) {
      for (GangSlot slot : best.slots) {
        builder.preempt(slot.machine, spec, slot.victims);
      }
      return Optional.empty();
    }
    boolean deferred = job.waitedS() < reservationDelayS(spec);
    if (deferred) {
      deferredGangs.add(job);
    } else {
      reserveFree(spec, best);
    }
    return Optional.of(shortfall(job, best));
  }

  /**
   * Reserves slots for the gangs whose reservation was deferred. Other gangs may be placed before
   * them, but lower-ranked arrays may not: arrays filled the machines that had been provisioned for
   * a gang as these came up, and then had to be preempted in large numbers.
   */
  void reserveForDeferredGangs() {
    for (JobView job : deferredGangs) {
      for (GangSlot slot : mostFreeSlots(job)) {
        slot.machine.reserve(job.spec());
      }
    }
    deferredGangs.clear();
  }

  /** The cheapest zone with room for the whole gang, else the zone with the most slots. */
  private ZoneSlots bestZone(JobView job, boolean mayPreempt) {
    ZoneSlots best = new ZoneSlots(PlanBuilder.ANY_ZONE, List.of());
    double lowestCost = Double.MAX_VALUE;
    for (int zone : PlanBuilder.candidateZones(job)) {
      ZoneSlots candidate = new ZoneSlots(zone, findSlots(job, zone, mayPreempt));
      int missing = job.spec().tasks() - candidate.slots.size();
      double cost = missing == 0 ? candidate.cost() : INCOMPLETE_COST * (1 + missing);
      if (cost < lowestCost) {
        lowestCost = cost;
        best = candidate;
      }
    }
    return best;
  }

  private static double reservationDelayS(JobSpec spec) {
    int doublings = Integer.numberOfTrailingZeros(Integer.highestOneBit(spec.tasks()));
    return RESERVATION_DELAY_PER_DOUBLING_S * doublings;
  }

  private List<GangSlot> mostFreeSlots(JobView job) {
    List<GangSlot> most = List.of();
    int mostCount = -1;
    for (int zone : PlanBuilder.candidateZones(job)) {
      List<GangSlot> slots = findSlots(job, zone, false);
      if (slots.size() > mostCount) {
        mostCount = slots.size();
        most = slots;
      }
    }
    return most;
  }

  private static void reserveFree(JobSpec spec, ZoneSlots zone) {
    for (GangSlot slot : zone.slots) {
      if (slot.victims.isEmpty()) {
        slot.machine.reserve(spec);
      }
    }
  }

  private static Shortfall shortfall(JobView job, ZoneSlots best) {
    int[] tasksByZone = new int[job.openByZone().size()];
    int free = 0;
    for (GangSlot slot : best.slots) {
      if (slot.victims.isEmpty()) {
        free++;
      }
    }
    if (best.zone != PlanBuilder.ANY_ZONE) {
      tasksByZone[best.zone] = free;
    }
    return new Shortfall(job.spec().tasks() - free, IntArrayList.wrap(tasksByZone));
  }

  /** The cheapest slots in a zone, at most as many as the gang has tasks. */
  private List<GangSlot> findSlots(JobView job, int zone, boolean mayPreempt) {
    JobSpec spec = job.spec();
    List<GangSlot> slots = new ArrayList<>();
    for (MachineCapacity machine : hosts(spec)) {
      if ((zone == PlanBuilder.ANY_ZONE || machine.zone() == zone)
          && machine.allows(spec)
          && (mayPreempt || machine.freeCpus() >= spec.taskResources().cpus())
          && !PlanBuilder.isAvoided(job, machine)) {
        builder.countEvaluation();
        preemption.addGangSlots(job, machine, mayPreempt, slots);
      }
    }
    // The sort is stable and costs rise within a machine, so each machine's slots keep their order.
    slots.sort(Comparator.comparingDouble(GangSlot::cost));
    return slots.size() > spec.tasks() ? slots.subList(0, spec.tasks()) : slots;
  }

  /** The machines with enough capacity for a task; cached for gangs with the same request. */
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
