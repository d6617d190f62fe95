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
 * A machine, there or coming, with the room that is left as a plan grows. Amounts are kept as plain
 * numbers: a round asks hundreds of machines about hundreds of tasks, and each question that made
 * an object cost more than its answer.
 */
final class MachineCapacity {
  private static final double SIBLING_S = 4;

  final MachineView view;
  final MachineType machineType;
  final int zone;
  final String zoneName;
  final boolean spot;

  private final List<Reservation> reservations;
  private long cpus;
  private long gpus;
  private long memory;

  /** Room of array tasks, which end by themselves before long. */
  private long arrayCpus;

  private long arrayGpus;
  private long arrayMemory;

  /** Room that stops of this plan will free and that nothing of it has claimed. */
  private Resources freedByPreemption = Resources.ZERO;

  private List<AttemptView> stopped = List.of();
  private Set<String> fetched = Set.of();
  private List<JobSpec> taken = List.of();
  private Set<JobId> stoppedFor = Set.of();

  /** The least important priority of what is open here; null where nothing is. */
  private Priority lowestPriority;

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
        addArrayRoom(spec.need());
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

  boolean ready() {
    return view != null && view.ready();
  }

  boolean used() {
    return used;
  }

  void use() {
    used = true;
  }

  long freeCpus() {
    return cpus;
  }

  Resources free() {
    return new Resources(cpus, gpus, memory);
  }

  /** Free room and that of the arrays that run here. */
  Resources freeAndArrays() {
    return new Resources(cpus + arrayCpus, gpus + arrayGpus, memory + arrayMemory);
  }

  Priority lowestPriority() {
    return lowestPriority;
  }

  boolean hasArrays() {
    return arrayCpus > 0;
  }

  boolean allows(JobSpec spec) {
    return (!spot || spec.spotAllowed())
        && (spec.zone() == null || spec.zone().equals(zoneName))
        && spec.allowsType(machineType.name());
  }

  boolean hasImage(String image) {
    return (view != null && view.images().contains(image)) || fetched.contains(image);
  }

  /** Whether a task fits into what is free and not kept for another job. */
  boolean fits(JobSpec spec) {
    Resources need = spec.need();
    if (need.cpus() > cpus || need.gpus() > gpus || need.memory() > memory) {
      return false;
    }
    return reservations.isEmpty() || need.fitsIn(roomFor(spec.id()));
  }

  /** Whether others were stopped here to make room for this job. */
  boolean reservedFor(JobId job) {
    for (Reservation reservation : reservations) {
      if (reservation.job().equals(job)) {
        return true;
      }
    }
    return false;
  }

  Resources roomFor(JobId job) {
    Resources room = free();
    for (Reservation reservation : reservations) {
      if (!reservation.job().equals(job)) {
        room = room.minus(reservation.room());
      }
    }
    return room;
  }

  /** Seconds by which another task of a service would rather lie elsewhere. */
  @SuppressWarnings("ReferenceEquality") // one description a job; asked for each machine and job
  double siblingSeconds(JobSpec spec) {
    int siblings = 0;
    if (view != null) {
      for (AttemptView attempt : view.attempts()) {
        if (attempt.spec() == spec) {
          siblings++;
        }
      }
    }
    for (JobSpec other : taken) {
      if (other == spec) {
        siblings++;
      }
    }
    return SIBLING_S * siblings;
  }

  /** Takes room only; {@link #giveBack} follows. */
  void reserve(JobSpec spec) {
    Resources need = spec.need();
    cpus -= need.cpus();
    gpus -= need.gpus();
    memory -= need.memory();
  }

  void take(JobSpec spec) {
    reserve(spec);
    used = true;
    if (spec.kind() == JobKind.ARRAY) {
      addArrayRoom(spec.need());
    } else if (spec.isService()) {
      taken = taken.isEmpty() ? new ArrayList<>(2) : taken;
      taken.add(spec);
    }
    if (!hasImage(spec.image())) {
      fetched = fetched.isEmpty() ? new HashSet<>(4) : fetched;
      fetched.add(spec.image());
    }
  }

  /** Undoes {@link #reserve}. */
  void giveBack(JobSpec spec) {
    Resources need = spec.need();
    cpus += need.cpus();
    gpus += need.gpus();
    memory += need.memory();
  }

  boolean stoppedFor(JobId job) {
    return !stoppedFor.isEmpty() && stoppedFor.contains(job);
  }

  @SuppressWarnings("ReferenceEquality") // a plan sees one view of an attempt, from one snapshot
  boolean stops(AttemptView attempt) {
    for (AttemptView victim : stopped) {
      if (victim == attempt) {
        return true;
      }
    }
    return false;
  }

  /**
   * Room that a job could claim without a further stop, now or when stops under way are through.
   */
  Resources roomAfterStops(JobId job) {
    return roomFor(job).plus(freedByPreemption);
  }

  /**
   * Victims are stopped for a task. What it needs is taken from the room at hand first, so that
   * nothing else of this plan goes there, then from what the stops free.
   */
  void stop(JobSpec forSpec, List<AttemptView> victims) {
    Resources freed = Resources.ZERO;
    if (!victims.isEmpty()) {
      stopped = stopped.isEmpty() ? new ArrayList<>() : stopped;
      for (AttemptView attempt : victims) {
        stopped.add(attempt);
        freed = freed.plus(attempt.spec().need());
      }
    }
    Resources need = forSpec.need();
    Resources now =
        new Resources(
            Math.max(0, Math.min(cpus, need.cpus())),
            Math.max(0, Math.min(gpus, need.gpus())),
            Math.max(0, Math.min(memory, need.memory())));
    cpus -= now.cpus();
    gpus -= now.gpus();
    memory -= now.memory();
    freedByPreemption = freedByPreemption.plus(freed).minus(need.minus(now));
    stoppedFor = stoppedFor.isEmpty() ? new HashSet<>() : stoppedFor;
    stoppedFor.add(forSpec.id());
    used = true;
  }
}
