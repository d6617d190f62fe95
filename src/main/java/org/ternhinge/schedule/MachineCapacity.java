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
 * The remaining capacity of an existing or planned machine while a plan is built. Amounts are kept
 * as primitives instead of {@link Resources}: a round evaluates hundreds of tasks on hundreds of
 * machines, and allocating an object for each evaluation would cost more than the evaluation.
 */
final class MachineCapacity {
  /** Penalty, in seconds, for each other task of the same service on the machine. */
  private static final double COLOCATION_PENALTY_S = 4;

  /** The machine in the snapshot; null for a machine that is not provisioned yet. */
  private final MachineView view;

  private final MachineType machineType;
  private final int zone;
  private final String zoneName;
  private final boolean spot;

  private final List<Reservation> reservations;
  private long cpus;
  private long gpus;
  private long memory;

  /** CPU of array tasks on an accelerated machine; these tasks end soon. */
  private long arrayCpus;

  private long arrayGpus;
  private long arrayMemory;

  /** Resources freed by preemptions of this plan, minus what the plan has reserved of them. */
  private Resources freedByPreemption = Resources.ZERO;

  private List<AttemptView> preempted = List.of();
  private Set<String> fetchedImages = Set.of();
  private List<JobSpec> placedServices = List.of();
  private Set<JobId> reservedByPlan = Set.of();

  /** The lowest priority among the open attempts; null if there are none. */
  private Priority lowestPriority;

  /** Whether the plan places or reserves something here, so the machine must not be released. */
  private boolean usedByPlan;

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
        addArrayUse(spec.taskResources());
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

  private void addArrayUse(Resources need) {
    arrayCpus += need.cpus();
    arrayGpus += need.gpus();
    arrayMemory += need.memory();
  }

  /** The machine in the snapshot; null for a machine that is not provisioned yet. */
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

  /** Whether tasks may be placed on the machine now. */
  boolean ready() {
    return view != null && view.ready();
  }

  boolean usedByPlan() {
    return usedByPlan;
  }

  long freeCpus() {
    return cpus;
  }

  Resources free() {
    return new Resources(cpus, gpus, memory);
  }

  /** The free room plus, on an accelerated machine, the room that its array tasks use. */
  Resources freeWithoutArrays() {
    return new Resources(cpus + arrayCpus, gpus + arrayGpus, memory + arrayMemory);
  }

  /** The lowest priority among the open attempts, or null if there are none. */
  Priority lowestPriority() {
    return lowestPriority;
  }

  /** Whether a job's constraints permit this kind of machine and its zone, whatever is free. */
  boolean allows(JobSpec spec) {
    return (!spot || spec.spotAllowed())
        && spec.allowsZone(zoneName)
        && spec.allowsType(machineType.name());
  }

  boolean hasImage(String image) {
    return (view != null && view.images().contains(image)) || fetchedImages.contains(image);
  }

  /** Whether a task fits into the free room that is not reserved for other jobs. */
  boolean fits(JobSpec spec) {
    Resources need = spec.taskResources();
    if (need.cpus() > cpus || need.gpus() > gpus || need.memory() > memory) {
      return false;
    }
    return reservations.isEmpty() || need.fitsIn(roomFor(spec.id()));
  }

  /** Whether an earlier round has reserved room here for a job. */
  boolean hasReservationFor(JobId job) {
    for (Reservation reservation : reservations) {
      if (reservation.job().equals(job)) {
        return true;
      }
    }
    return false;
  }

  /** The free room that is not reserved for other jobs. */
  private Resources roomFor(JobId job) {
    Resources room = free();
    for (Reservation reservation : reservations) {
      if (!reservation.job().equals(job)) {
        room = room.minus(reservation.room());
      }
    }
    return room;
  }

  /** The penalty for placing a service's task on the same machine as others of the service. */
  @SuppressWarnings("ReferenceEquality") // each job has one spec object; this is a hot path
  double colocationPenalty(JobSpec spec) {
    int colocated = 0;
    if (view != null) {
      for (AttemptView attempt : view.attempts()) {
        if (attempt.spec() == spec) {
          colocated++;
        }
      }
    }
    for (JobSpec other : placedServices) {
      if (other == spec) {
        colocated++;
      }
    }
    return COLOCATION_PENALTY_S * colocated;
  }

  /** Subtracts a task's resources; {@link #deallocate} adds them back. */
  void allocate(JobSpec spec) {
    Resources need = spec.taskResources();
    cpus -= need.cpus();
    gpus -= need.gpus();
    memory -= need.memory();
  }

  /** Allocates the resources of a task in the plan and records its image as fetched here. */
  void place(JobSpec spec) {
    allocate(spec);
    usedByPlan = true;
    if (spec.kind() == JobKind.ARRAY) {
      addArrayUse(spec.taskResources());
    } else if (spec.isService()) {
      placedServices = placedServices.isEmpty() ? new ArrayList<>(2) : placedServices;
      placedServices.add(spec);
    }
    if (!hasImage(spec.image())) {
      fetchedImages = fetchedImages.isEmpty() ? new HashSet<>(4) : fetchedImages;
      fetchedImages.add(spec.image());
    }
  }

  /** Reverts {@link #allocate}. */
  void deallocate(JobSpec spec) {
    Resources need = spec.taskResources();
    cpus += need.cpus();
    gpus += need.gpus();
    memory += need.memory();
  }

  /** Whether this plan has reserved room here for a job. */
  boolean reservedByPlanFor(JobId job) {
    return !reservedByPlan.isEmpty() && reservedByPlan.contains(job);
  }

  @SuppressWarnings("ReferenceEquality") // a snapshot has one view object for each attempt
  boolean isPreempted(AttemptView attempt) {
    for (AttemptView victim : preempted) {
      if (victim == attempt) {
        return true;
      }
    }
    return false;
  }

  /** The room that a job can use once the preemptions planned so far have taken effect. */
  Resources roomAfterPreemptions(JobId job) {
    return roomFor(job).plus(freedByPreemption);
  }

  /** Reserves free room for a task that can't start yet. */
  void reserve(JobSpec forJob) {
    preempt(forJob, List.of());
  }

  /**
   * Preempts tasks for one task of a job and reserves its resources. They are taken from the free
   * room first, so that the plan places nothing else there, then from what the preemptions free.
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
    usedByPlan = true;
  }
}
