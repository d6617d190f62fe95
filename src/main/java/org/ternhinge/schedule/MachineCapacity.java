package org.ternhinge.schedule;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot.AttemptView;
import org.ternhinge.schedule.Snapshot.MachineView;
import org.ternhinge.schedule.Snapshot.Offer;
import org.ternhinge.schedule.Snapshot.Reservation;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.Priority;

/**
 * A machine, present or to be provisioned, with the room that is left on it as a plan grows.
 * Amounts are plain numbers, not {@link Resources}: a round evaluates hundreds of tasks on hundreds
 * of machines, and an allocation for each evaluation would cost more than the evaluation.
 */
final class MachineCapacity {
  /** Score, in seconds, of each other task of the same service on the machine. */
  private static final double SIBLING_S = 4;

  /** Null for a machine that is not provisioned yet. */
  private final MachineView view;

  private final MachineType machineType;
  private final int zone;
  private final String zoneName;
  private final boolean spot;

  private final List<Reservation> reservations;
  private long cpus;
  private long gpus;
  private long memory;

  /** Resources of array tasks on an accelerated machine; they end by themselves before long. */
  private long arrayCpus;

  private long arrayGpus;
  private long arrayMemory;

  /** Room that preemptions of this plan free, less what the plan has reserved of it. */
  private Resources freedByPreemption = Resources.ZERO;

  private List<AttemptView> preempted = List.of();
  private Set<String> fetchedImages = Set.of();
  private List<JobSpec> placedServices = List.of();
  private Set<JobId> reservedByPlan = Set.of();

  /** The lowest priority among the open attempts; null where there are none. */
  private Priority lowestPriority;

  /** Whether the plan uses the machine, so that it is not released. */
  private boolean used;

  MachineCapacity(MachineView view) {
    this.view = view;
    this.machineType = view.machineType();
    this.zone = view.zone();
    this.zoneName = view.zoneName();
    this.spot = view.spot();
    this.reservations = view.reservations();
    setRoom(view.free());
    boolean accelerated = machineType.capacity().gpus() > 0;
    for (AttemptView attempt : view.attempts()) {
      JobSpec spec = attempt.spec();
      if (lowestPriority == null || spec.priority().compareTo(lowestPriority) > 0) {
        lowestPriority = spec.priority();
      }
      if (accelerated && spec.kind() == JobKind.ARRAY) {
        addArrayRoom(spec.taskResources());
      }
    }
  }

  MachineCapacity(Offer offer) {
    this.view = null;
    this.machineType = offer.machineType();
    this.zone = offer.zone();
    this.zoneName = offer.zoneName();
    this.spot = offer.spot();
    this.reservations = List.of();
    setRoom(machineType.capacity());
  }

  private void setRoom(Resources room) {
    cpus = room.cpus();
    gpus = room.gpus();
    memory = room.memory();
  }

  private void addArrayRoom(Resources need) {
    arrayCpus += need.cpus();
    arrayGpus += need.gpus();
    arrayMemory += need.memory();
  }

  /** The machine as the snapshot has it; only for machines of the snapshot. */
  MachineView view() {
    return view;
  }

  MachineType machineType() {
    return machineType;
  }

  /** The index of the zone. */
  int zone() {
    return zone;
  }

  boolean spot() {
    return spot;
  }

  /** Whether tasks may be placed on it now. */
  boolean ready() {
    return view != null && view.ready();
  }

  boolean used() {
    return used;
  }

  long freeCpus() {
    return cpus;
  }

  Resources free() {
    return new Resources(cpus, gpus, memory);
  }

  /** Free room and that of the arrays on the machine, if it is accelerated. */
  Resources freeAndArrays() {
    return new Resources(cpus + arrayCpus, gpus + arrayGpus, memory + arrayMemory);
  }

  /** The lowest priority among the open attempts, or null where there are none. */
  Priority lowestPriority() {
    return lowestPriority;
  }

  /** Whether a job may run on such a machine, however much room there is. */
  boolean allows(JobSpec spec) {
    return (!spot || spec.spotAllowed())
        && spec.allowsZone(zoneName)
        && spec.allowsType(machineType.name());
  }

  boolean hasImage(String image) {
    return (view != null && view.images().contains(image)) || fetchedImages.contains(image);
  }

  /** Whether a task fits into what is free and not reserved for another job. */
  boolean fits(JobSpec spec) {
    Resources need = spec.taskResources();
    if (need.cpus() > cpus || need.gpus() > gpus || need.memory() > memory) {
      return false;
    }
    return reservations.isEmpty() || need.fitsIn(roomFor(spec.id()));
  }

  /** Whether an earlier round has reserved room here for a job. */
  boolean reservedFor(JobId job) {
    for (Reservation reservation : reservations) {
      if (reservation.job().equals(job)) {
        return true;
      }
    }
    return false;
  }

  /** What is free and not reserved for another job. */
  private Resources roomFor(JobId job) {
    Resources room = free();
    for (Reservation reservation : reservations) {
      if (!reservation.job().equals(job)) {
        room = room.minus(reservation.room());
      }
    }
    return room;
  }

  /** The score of placing a service's task beside others of the same service. */
  @SuppressWarnings("ReferenceEquality") // one spec object a job; a hot path
  double siblingScore(JobSpec spec) {
    int siblings = 0;
    if (view != null) {
      for (AttemptView attempt : view.attempts()) {
        if (attempt.spec() == spec) {
          siblings++;
        }
      }
    }
    for (JobSpec other : placedServices) {
      if (other == spec) {
        siblings++;
      }
    }
    return SIBLING_S * siblings;
  }

  /** Subtracts a task's resources for the time of a search; {@link #unassume} adds them again. */
  void assume(JobSpec spec) {
    Resources need = spec.taskResources();
    cpus -= need.cpus();
    gpus -= need.gpus();
    memory -= need.memory();
  }

  /** Places a task. */
  void place(JobSpec spec) {
    assume(spec);
    used = true;
    if (spec.kind() == JobKind.ARRAY) {
      addArrayRoom(spec.taskResources());
    } else if (spec.isService()) {
      placedServices = placedServices.isEmpty() ? new ArrayList<>(2) : placedServices;
      placedServices.add(spec);
    }
    if (!hasImage(spec.image())) {
      fetchedImages = fetchedImages.isEmpty() ? new HashSet<>(4) : fetchedImages;
      fetchedImages.add(spec.image());
    }
  }

  /** Reverts {@link #assume}. */
  void unassume(JobSpec spec) {
    Resources need = spec.taskResources();
    cpus += need.cpus();
    gpus += need.gpus();
    memory += need.memory();
  }

  /** Whether this plan has reserved room here for a job. */
  boolean reservedByPlanFor(JobId job) {
    return !reservedByPlan.isEmpty() && reservedByPlan.contains(job);
  }

  @SuppressWarnings("ReferenceEquality") // a plan sees one view of an attempt, from one snapshot
  boolean isPreempted(AttemptView attempt) {
    for (AttemptView victim : preempted) {
      if (victim == attempt) {
        return true;
      }
    }
    return false;
  }

  /** Room that a job could use without a further preemption, once those under way are done. */
  Resources roomAfterPreemptions(JobId job) {
    return roomFor(job).plus(freedByPreemption);
  }

  /** Reserves free room for a task that can't start yet. */
  void reserve(JobSpec forJob) {
    preempt(forJob, List.of());
  }

  /**
   * Preempts tasks for a task of a job. What it needs is subtracted from the free room first, so
   * that nothing else of this plan goes there, then from what the preemptions free.
   */
  void preempt(JobSpec forJob, List<AttemptView> victims) {
    Resources freed = Resources.ZERO;
    if (!victims.isEmpty()) {
      preempted = preempted.isEmpty() ? new ArrayList<>() : preempted;
      for (AttemptView attempt : victims) {
        preempted.add(attempt);
        freed = freed.plus(attempt.spec().taskResources());
      }
    }
    Resources need = forJob.taskResources();
    Resources freeNow =
        new Resources(
            Math.max(0, Math.min(cpus, need.cpus())),
            Math.max(0, Math.min(gpus, need.gpus())),
            Math.max(0, Math.min(memory, need.memory())));
    cpus -= freeNow.cpus();
    gpus -= freeNow.gpus();
    memory -= freeNow.memory();
    freedByPreemption = freedByPreemption.plus(freed).minus(need.minus(freeNow));
    reservedByPlan = reservedByPlan.isEmpty() ? new HashSet<>() : reservedByPlan;
    reservedByPlan.add(forJob.id());
    used = true;
  }
}
