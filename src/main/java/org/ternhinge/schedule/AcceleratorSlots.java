package org.ternhinge.schedule;

import java.util.Optional;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot.AttemptView;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.schedule.Snapshot.MachineView;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;

/** Counts the accelerator slots that are lost when a task without accelerators is placed. */
final class AcceleratorSlots {
  private static final int MILLIS_PER_GPU = 1000;

  /** CPU of the assumed task, in eighths of one accelerator's share of the machine's CPUs. */
  private static final int ASSUMED_CPU_EIGHTHS = 7;

  /** Memory of the assumed task, in quarters of one accelerator's share of the memory. */
  private static final int ASSUMED_MEMORY_QUARTERS = 3;

  /** A job with accelerators that stands for all such jobs; null if the snapshot has none. */
  private final JobSpec sampleJob;

  AcceleratorSlots(Snapshot snapshot) {
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
   * Returns how many fewer tasks with accelerators fit on a machine if a task of this job is placed
   * there.
   *
   * <p>Array tasks on the machine are ignored because they end soon. A service is compared with the
   * room that remains once they have ended; an array may only use room that no task with
   * accelerators could use at that time. When running arrays were counted as used room, a single
   * short task opened the slot to other arrays for as long as new ones arrived.
   */
  int lostSlots(JobSpec spec, MachineCapacity machine) {
    Resources capacity = machine.machineType().capacity();
    if (capacity.gpus() == 0 || spec.taskResources().gpus() > 0) {
      return 0;
    }
    if (sampleJob != null && (!machine.allows(sampleJob) || isPreemptibleBySample(spec))) {
      return 0;
    }
    Resources task = sampleJob == null ? assumedTask(capacity) : sampleJob.taskResources();
    Resources room = machine.freeWithoutArrays();
    int slots = task.countFittingIn(room);
    if (spec.kind() != JobKind.ARRAY) {
      return slots - task.countFittingIn(room.minus(spec.taskResources()));
    }
    if (slots == 0) {
      return 0;
    }
    Resources spare = room.minus(task.times(slots));
    Resources arrays = room.minus(machine.free());
    return arrays.plus(spec.taskResources()).fitsIn(spare) ? 0 : 1;
  }

  /** Whether a job is an array of lower priority than the sample, so the sample can preempt it. */
  private boolean isPreemptibleBySample(JobSpec spec) {
    return spec.kind() == JobKind.ARRAY && spec.priority().compareTo(sampleJob.priority()) > 0;
  }

  /** A task with one accelerator and most of the accelerator's share of CPU and memory. */
  private static Resources assumedTask(Resources capacity) {
    long gpus = Math.max(1, capacity.gpus() / MILLIS_PER_GPU);
    return new Resources(
        capacity.cpus() * ASSUMED_CPU_EIGHTHS / 8 / gpus,
        MILLIS_PER_GPU,
        capacity.memory() * ASSUMED_MEMORY_QUARTERS / 4 / gpus);
  }

  /**
   * Returns how many tasks with accelerators could start on a machine now, but only after a
   * preemption once a task of this array is placed there. This is 0 if other arrays already occupy
   * the room.
   */
  int blockedSlots(JobSpec spec, MachineCapacity machine) {
    if (sampleJob == null || spec.kind() != JobKind.ARRAY || !machine.allows(sampleJob)) {
      return 0;
    }
    Resources room = machine.free();
    int slots = sampleJob.taskResources().countFittingIn(room);
    return slots == 0
        ? 0
        : slots - sampleJob.taskResources().countFittingIn(room.minus(spec.taskResources()));
  }
}
