package org.ternhinge.schedule;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Priority;

/**
 * Plans one scheduling round, as a pure function of the snapshot. Jobs are scheduled in order of
 * priority, guarantee and queue position. Each job's tasks are placed in the free room with the
 * best score. If there is none, tasks of lower priority are preempted, and machines are provisioned
 * for the tasks that remain.
 */
public final class Planner {
  /** The order in which jobs are scheduled. */
  public static final Comparator<JobView> QUEUE_ORDER =
      Comparator.comparing((JobView job) -> job.spec().priority() != Priority.PRODUCTION)
          .thenComparing(job -> !job.withinGuarantee() && !job.overdue())
          .thenComparing(job -> job.spec().priority())
          .thenComparingDouble(JobView::sortKey);

  /**
   * Budget of evaluations in one round for jobs below production priority. Jobs beyond the budget
   * wait for the next round, so that a long round never delays heartbeats or the renewal of the
   * leadership.
   */
  static final int MAX_EVALUATIONS = 60_000;

  /** The same budget for each machine; it applies in large fleets, where it is the larger one. */
  private static final int MAX_EVALUATIONS_PER_MACHINE = 60;

  /**
   * Share of the budget that gangs may use. Gangs are scheduled first and need the most
   * evaluations; without this limit, arrays got no evaluations while many gangs were waiting for
   * room.
   */
  private static final double MAX_GANG_SHARE = 0.5;

  /**
   * Tasks of a job for which there is no room.
   *
   * @param tasks number of tasks without room
   * @param tasksByZone number of tasks in each zone that have room or a reservation
   */
  private record Demand(JobView job, int tasks, IntList tasksByZone) {}

  private final PlanBuilder builder;
  private final TaskPlacer placer;
  private final PreemptionPlanner preemption;
  private final GangReservations gangReservations;
  private final List<Demand> unmetDemand = new ArrayList<>();

  private Planner(Snapshot snapshot) {
    this.builder = new PlanBuilder(snapshot);
    this.placer = new TaskPlacer(builder);
    this.preemption = new PreemptionPlanner(builder);
    this.gangReservations = new GangReservations(builder, preemption);
  }

  /** Plans one scheduling round on a snapshot. */
  public static Plan plan(Snapshot snapshot) {
    return new Planner(snapshot).run();
  }

  private Plan run() {
    scheduleJobs();
    planScaling();
    return builder.build();
  }

  private void scheduleJobs() {
    List<JobView> queue = new ArrayList<>(builder.snapshot().jobs());
    queue.sort(QUEUE_ORDER);
    long budget =
        Math.max(MAX_EVALUATIONS, (long) MAX_EVALUATIONS_PER_MACHINE * builder.machines().size());
    long evaluationsForProduction = 0;
    for (JobView job : queue) {
      JobSpec spec = job.spec();
      if (spec.priority() == Priority.PRODUCTION) {
        schedule(job);
        evaluationsForProduction = builder.evaluations();
        continue;
      }
      if (spec.kind() == JobKind.ARRAY) {
        gangReservations.reserveForDeferredGangs();
      }
      double share = spec.isGang() ? MAX_GANG_SHARE : 1;
      if (builder.evaluations() - evaluationsForProduction < share * budget) {
        schedule(job);
      }
    }
  }

  private void planScaling() {
    ScalingPlanner scaling = new ScalingPlanner(builder);
    for (Demand demand : unmetDemand) {
      scaling.provisionFor(demand.job, demand.tasks, demand.tasksByZone);
    }
    if (builder.snapshot().inventoryComplete()) {
      new Consolidation(builder).run();
    }
    builder.snapshot().expectedJobs().forEach(scaling::reserveForExpected);
    scaling.addToPlan();
  }

  private void schedule(JobView job) {
    if (job.blocked()) {
      return;
    }
    if (job.spec().isGang()) {
      scheduleGang(job);
    } else {
      int unmet = new TaskAllocation(builder, placer, preemption, job).run();
      if (unmet > 0) {
        unmetDemand.add(new Demand(job, unmet, IntArrayList.wrap(builder.tasksByZone(job))));
      }
    }
  }

  private void scheduleGang(JobView job) {
    JobSpec spec = job.spec();
    if (job.pendingCount() < spec.tasks()) {
      return;
    }
    if (builder.tasksWithinLimit(spec) < spec.tasks()) {
      if (builder.tasksWithinLimitWithoutArrays(spec) >= spec.tasks()) {
        // Holds the rest of the limit for the gang; otherwise new arrays would use it up.
        builder.charge(spec, spec.tasks());
      }
      return;
    }
    if (placer.placeGang(job)) {
      return;
    }
    builder.charge(spec, spec.tasks());
    if (job.reservedTasks() < spec.tasks()) {
      gangReservations
          .preemptOrReserve(job)
          .ifPresent(
              shortfall ->
                  unmetDemand.add(new Demand(job, shortfall.tasks(), shortfall.tasksByZone())));
    }
  }
}
