package org.ternhinge.schedule;

import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Priority;

/**
 * Serves one job whose tasks may start one by one: places as many as find free room and preempts
 * for the rest, in one scope after another.
 */
final class TaskAllocation {
  private final PlanBuilder builder;
  private final TaskPlacer placer;
  private final PreemptionPlanner preemption;
  private final JobView job;

  /** Tasks that were placed. */
  private int placed;

  /** Tasks within the team's limit that have neither a place nor reserved room. */
  private int unserved;

  /** Tasks with reserved room that are not subtracted from {@link #unserved} yet. */
  private int uncountedReservations;

  TaskAllocation(
      PlanBuilder builder, TaskPlacer placer, PreemptionPlanner preemption, JobView job) {
    this.builder = builder;
    this.placer = placer;
    this.preemption = preemption;
    this.job = job;
    this.uncountedReservations = job.reservedTasks();
  }

  /** Serves the job and returns the number of tasks within the team's limit without room. */
  int run() {
    JobSpec spec = job.spec();
    boolean production = spec.priority() == Priority.PRODUCTION;
    int allowed = Math.min(job.pendingCount(), builder.tasksWithinLimit(spec));
    unserved = allowed;
    if (production) {
      // Fetching an image takes longer than a preemption: machines that hold it come first.
      placeAndPreempt(PlacementScope.CACHED);
    }
    placeAndPreempt(PlacementScope.PLAIN);
    if (production && builder.snapshot().inventoryComplete()) {
      placeAndPreempt(PlacementScope.LAST_RESORT);
    }
    int unmet = Math.max(0, unserved);
    preemptOwnTeam(allowed);
    builder.charge(spec, Math.min(job.reservedTasks(), job.pendingCount() - placed));
    return unmet;
  }

  private void placeAndPreempt(PlacementScope scope) {
    int started = placer.place(job, placed, unserved, scope);
    placed += started;
    unserved -= started + uncountedReservations;
    uncountedReservations = 0;
    unserved -= preemption.makeRoom(job, unserved, scope);
  }

  /** The team's own lesser tasks may use up the limit that keeps the rest of the job pending. */
  private void preemptOwnTeam(int allowed) {
    Priority priority = job.spec().priority();
    int overLimit = job.pendingCount() - Math.max(allowed, placed + job.reservedTasks());
    if (overLimit > 0 && priority != Priority.LOW) {
      overLimit -= preemption.makeRoom(job, overLimit, PlacementScope.OWN_TEAM);
    }
    if (overLimit > 0 && priority == Priority.PRODUCTION) {
      preemption.makeRoom(job, overLimit, PlacementScope.OWN_TEAM_LAST_RESORT);
    }
  }
}
