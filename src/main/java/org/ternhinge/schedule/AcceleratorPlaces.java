package org.ternhinge.schedule;

import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot.AttemptView;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.schedule.Snapshot.MachineView;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;

/** Keeps the places that tasks with accelerators need from being used up by others. */
final class AcceleratorPlaces {
  /** A job whose tasks use accelerators, which stands for all of them; null if there is none. */
  private final JobSpec job;

  AcceleratorPlaces(Snapshot snapshot) {
    this.job = find(snapshot);
  }

  private static JobSpec find(Snapshot snapshot) {
    for (JobView job : snapshot.jobs()) {
      if (job.spec().need().gpus() > 0) {
        return job.spec();
      }
    }
    for (MachineView machine : snapshot.machines()) {
      for (AttemptView attempt : machine.attempts()) {
        if (attempt.spec().need().gpus() > 0) {
          return attempt.spec();
        }
      }
    }
    for (JobView job : snapshot.expectedJobs()) {
      if (job.spec().need().gpus() > 0) {
        return job.spec();
      }
    }
    return null;
  }

  /** How many tasks with accelerators lose their place on a machine to this one. */
  int lost(JobSpec spec, MachineCapacity machine) {
    Resources capacity = machine.machineType.capacity();
    if (capacity.gpus() == 0 || spec.need().gpus() > 0) {
      return 0;
    }
    if (job != null) {
      if (!machine.allows(job)) {
        return 0;
      }
      if (spec.kind() == JobKind.ARRAY && spec.priority().compareTo(job.priority()) > 0) {
        // Lesser arrays are stopped when an accelerated task comes.
        return 0;
      }
    }
    Resources task = job == null ? null : job.need();
    if (task == null) {
      // None are about: suppose that one takes an accelerator and nearly its share of the rest.
      long gpus = Math.max(1, capacity.gpus() / 1000);
      task = new Resources(capacity.cpus() * 7 / 8 / gpus, 1000, capacity.memory() * 3 / 4 / gpus);
    }
    // Judged by the room without arrays, which end soon: a service takes what will be free for
    // good, and arrays may fill only what no accelerated task could use once they have ended.
    // Judging them by the room of the moment let one short task give a place away for as long as
    // arrays came.
    Resources room = machine.freeAndArrays();
    int places = task.timesIn(room);
    if (spec.kind() == JobKind.ARRAY) {
      if (places == 0) {
        return 0;
      }
      Resources spare = room.minus(task.times(places));
      Resources arrays = room.minus(machine.free());
      return arrays.plus(spec.need()).fitsIn(spare) ? 0 : 1;
    }
    return places - task.timesIn(room.minus(spec.need()));
  }

  /**
   * How many tasks with accelerators would have to stop this lesser array's task, or another beside
   * it, before they could start here. None where arrays stand in the way already.
   */
  int inTheWay(JobSpec spec, MachineCapacity machine) {
    if (job == null || spec.kind() != JobKind.ARRAY || !machine.allows(job)) {
      return 0;
    }
    Resources room = machine.free();
    int places = job.need().timesIn(room);
    return places == 0 ? 0 : places - job.need().timesIn(room.minus(spec.need()));
  }
}
