package org.ternhinge.schedule;

import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Priority;

/**
 * Allocates room for a job whose tasks may start individually: in each scope in turn, places tasks
 * in free room and preempts other tasks for the rest.
 */
final class TaskAllocation {
  private final PlanBuilder builder;
  private final TaskPlacer placer;
  private final PreemptionPlanner preemption;
  private final JobView job;

  /** Number of tasks that were placed. */
  private int placed;

  /** Number of tasks within the team's limit that are neither placed nor have a reservation. */
  private int unplaced;

  /** Number of tasks with a reservation that is not yet subtracted from {@link #unplaced}. */
  private int uncountedReservations;

  TaskAllocation(
      PlanBuilder builder, TaskPlacer placer, PreemptionPlanner preemption, JobView job) {
    this.builder = builder;
    this.placer = placer;
    this.preemption = preemption;
    this.job = job;
    this.uncountedReservations = job.reservedTasks();
  }

  /** Allocates room and returns the number of tasks within the team's limit that got none. */
  int run() {
    JobSpec spec = job.spec();
    boolean production = spec.priority() == Priority.PRODUCTION;
    int allowed = Math.min(job.pendingCount(), builder.tasksWithinLimit(spec));
    unplaced = allowed;
    if (production) {
      // Machines that hold the image come first because a fetch takes longer than a preemption.
      placeAndPreempt(PlacementScope.IMAGE_CACHED);
    }
    placeAndPreempt(PlacementScope.STANDARD);
    if (production && builder.snapshot().inventoryComplete()) {
      placeAndPreempt(PlacementScope.ACCELERATOR_SLOTS);
    }
    int unmet = Math.max(0, unplaced);
    preemptOwnTeam(allowed);
    builder.charge(spec, Math.min(job.reservedTasks(), job.pendingCount() - placed));
    return unmet;
  }

  private void placeAndPreempt(PlacementScope scope) {
    int started = placer.place(job, placed, unplaced, scope);
    placed += started;
    unplaced -= started + uncountedReservations;
    uncountedReservations = 0;
    unplaced -= preemption.makeRoom(job, unplaced, scope);
  }

  /**
   * Preempts the team's own tasks of lower priority for the tasks that exceed the team's limit, as
   * those tasks may account for the usage.
   */
  private void preemptOwnTeam(int allowed) {
    Priority priority = job.spec().priority();
    int overLimit = job.pendingCount() - Math.max(allowed, placed + job.reservedTasks());
    if (overLimit > 0 && priority != Priority.LOW) {
      overLimit -= preemption.makeRoom(job, overLimit, PlacementScope.OWN_TEAM);
    }
    if (overLimit > 0 && priority == Priority.PRODUCTION) {
      preemption.makeRoom(job, overLimit, PlacementScope.OWN_TEAM_ACCELERATOR_SLOTS);
    }
  }
}
