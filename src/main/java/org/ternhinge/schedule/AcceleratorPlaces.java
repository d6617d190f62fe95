package org.ternhinge.schedule;

import java.util.Optional;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot.AttemptView;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.schedule.Snapshot.MachineView;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;

/** Protects the places of tasks with accelerators from being used up by tasks without. */
final class AcceleratorPlaces {
  private static final int MILLIS_PER_GPU = 1000;

  /** CPU of an assumed task with one accelerator: so many eighths of the accelerator's share. */
  private static final int ASSUMED_CPU_EIGHTHS = 7;

  /** Memory of such a task: so many quarters of the accelerator's share. */
  private static final int ASSUMED_MEMORY_QUARTERS = 3;

  /** A job with accelerators that represents all of them; null where the snapshot has none. */
  private final JobSpec sampleJob;

  AcceleratorPlaces(Snapshot snapshot) {
    this.sampleJob = findSample(snapshot).orElse(null);
  }

  private static Optional<JobSpec> findSample(Snapshot snapshot) {
    for (JobView job : snapshot.jobs()) {
      if (job.spec().taskResources().gpus() > 0) {
        return Optional.of(job.spec());
      }
    }
    for (MachineView machine : snapshot.machines()) {
      for (AttemptView attempt : machine.attempts()) {
        if (attempt.spec().taskResources().gpus() > 0) {
          return Optional.of(attempt.spec());
        }
      }
    }
    for (JobView job : snapshot.expectedJobs()) {
      if (job.spec().taskResources().gpus() > 0) {
        return Optional.of(job.spec());
      }
    }
    return Optional.empty();
  }

  /**
   * How many tasks with accelerators lose their place on a machine to one task of a job.
   *
   * <p>Counted in the room without arrays, which end soon: a service takes what will be free for
   * good, and arrays may fill only what no task with accelerators could use once they have ended.
   * When arrays were counted as well, one short task gave a place away for as long as arrays came.
   */
  int lostPlaces(JobSpec spec, MachineCapacity machine) {
    Resources capacity = machine.machineType().capacity();
    if (capacity.gpus() == 0 || spec.taskResources().gpus() > 0) {
      return 0;
    }
    if (sampleJob != null && (!machine.allows(sampleJob) || yieldsToSample(spec))) {
      return 0;
    }
    Resources task = sampleJob == null ? assumedTask(capacity) : sampleJob.taskResources();
    Resources room = machine.freeAndArrays();
    int places = task.countFittingIn(room);
    if (spec.kind() != JobKind.ARRAY) {
      return places - task.countFittingIn(room.minus(spec.taskResources()));
    }
    if (places == 0) {
      return 0;
    }
    Resources spare = room.minus(task.times(places));
    Resources arrays = room.minus(machine.free());
    return arrays.plus(spec.taskResources()).fitsIn(spare) ? 0 : 1;
  }

  /** Whether a job is an array that is preempted when a task with accelerators arrives. */
  private boolean yieldsToSample(JobSpec spec) {
    return spec.kind() == JobKind.ARRAY && spec.priority().compareTo(sampleJob.priority()) > 0;
  }

  /** A task with one accelerator and nearly its share of the rest of a machine. */
  private static Resources assumedTask(Resources capacity) {
    long gpus = Math.max(1, capacity.gpus() / MILLIS_PER_GPU);
    return new Resources(
        capacity.cpus() * ASSUMED_CPU_EIGHTHS / 8 / gpus,
        MILLIS_PER_GPU,
        capacity.memory() * ASSUMED_MEMORY_QUARTERS / 4 / gpus);
  }

  /**
   * How many tasks with accelerators would have to preempt this array's task, or another one on the
   * machine, before they could start on a machine. None where arrays occupy the machine already.
   */
  int obstructedPlaces(JobSpec spec, MachineCapacity machine) {
    if (sampleJob == null || spec.kind() != JobKind.ARRAY || !machine.allows(sampleJob)) {
      return 0;
    }
    Resources room = machine.free();
    int places = sampleJob.taskResources().countFittingIn(room);
    return places == 0
        ? 0
        : places - sampleJob.taskResources().countFittingIn(room.minus(spec.taskResources()));
  }
}
