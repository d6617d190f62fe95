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
 * Decides what runs where. A pure function of the snapshot: in order of priority, guarantee and
 * arrival each job's tasks go where their image lies, else where they wait least and waste least;
 * what finds no room may have others stopped for it, and what still waits is provisioned for.
 */
public final class Planner {
  /**
   * Candidate evaluations of a job on a machine that one round may take, production work apart.
   * What is left waits for the next round, so that heartbeats and the renewal of the leadership
   * never stand behind a long one.
   */
  public static final int MAX_EVALUATIONS = 60_000;

  /** The same for a large fleet, by its machines. */
  private static final int MAX_EVALUATIONS_PER_MACHINE = 60;

  /**
   * Share of these evaluations that gangs may take. They come first and search longest; where many
   * of them waited for room, the arrays behind them had no turn for as long as that lasted.
   */
  private static final double GANG_SHARE = 0.5;

  /** Tasks that found no room; the zones count what their job has or has room reserved for. */
  private record Demand(JobView job, int tasks, IntList zones) {}

  private final PlanBuilder builder;
  private final TaskPlacer placer;
  private final Preemption preemption;
  private final GangReservations gangReservations;
  private final List<Demand> unmetDemand = new ArrayList<>();

  private Planner(Snapshot snapshot) {
    this.builder = new PlanBuilder(snapshot);
    this.placer = new TaskPlacer(builder);
    this.preemption = new Preemption(builder);
    this.gangReservations = new GangReservations(builder, preemption);
  }

  /** Plans a round. */
  public static Plan plan(Snapshot snapshot) {
    return new Planner(snapshot).run();
  }

  /** Order in which jobs are served. */
  public static final Comparator<JobView> ORDER =
      Comparator.comparing((JobView job) -> job.spec().priority() != Priority.PRODUCTION)
          .thenComparing(job -> !job.guaranteed() && !job.late())
          .thenComparing(job -> job.spec().priority())
          .thenComparingDouble(JobView::rank);

  private Plan run() {
    List<JobView> order = new ArrayList<>(builder.snapshot.jobs());
    order.sort(ORDER);
    long most =
        Math.max(MAX_EVALUATIONS, (long) MAX_EVALUATIONS_PER_MACHINE * builder.machines.size());
    long before = 0;
    for (JobView job : order) {
      boolean production = job.spec().priority() == Priority.PRODUCTION;
      if (production) {
        before = builder.evaluations();
      }
      if (job.spec().kind() == JobKind.ARRAY && !production) {
        gangReservations.reserveForPatientGangs();
      }
      double part = job.spec().isGang() ? GANG_SHARE : 1;
      if (!job.blocked() && (production || builder.evaluations() - before < part * most)) {
        serve(job);
        if (production) {
          before = builder.evaluations();
        }
      }
    }
    ScalingPlanner scaling = new ScalingPlanner(builder);
    for (Demand demand : unmetDemand) {
      scaling.provisionFor(demand.job, demand.tasks, demand.zones);
    }
    if (builder.snapshot.settled()) {
      new Consolidation(builder).run();
    }
    builder.snapshot.expectedJobs().forEach(scaling::keepRoomFor);
    scaling.finish();
    builder.plan.evaluations(builder.evaluations());
    return builder.plan;
  }

  private void serve(JobView job) {
    if (job.spec().isGang()) {
      serveGang(job);
    } else {
      serveTasks(job);
    }
  }

  private void serveGang(JobView job) {
    JobSpec spec = job.spec();
    if (job.waiting() < spec.tasks()) {
      return;
    }
    if (builder.limitLeft(spec) < spec.tasks()) {
      if (builder.limitLeftWithoutArrays(spec) >= spec.tasks()) {
        builder.charge(spec, spec.tasks());
      }
      return;
    }
    if (placer.placeGang(job)) {
      return;
    }
    builder.charge(spec, spec.tasks());
    if (job.reservedTasks() < spec.tasks()) {
      GangReservations.Missing missing = gangReservations.makeRoom(job);
      if (missing != null) {
        unmetDemand.add(new Demand(job, missing.tasks(), missing.zones()));
      }
    }
  }

  private void serveTasks(JobView job) {
    JobSpec spec = job.spec();
    int allowed = Math.min(job.waiting(), builder.limitLeft(spec));
    boolean production = spec.priority() == Priority.PRODUCTION;
    int placed = 0;
    int left = allowed;
    if (production) {
      // An image takes longer to fetch than lesser work to stop: first all places that have it.
      placed += placer.place(job, placed, left, PlacementScope.CACHED);
      left = allowed - placed - job.reservedTasks();
      left -= preemption.makeRoom(job, left, PlacementScope.CACHED);
    }
    int more = placer.place(job, placed, left, PlacementScope.PLAIN);
    placed += more;
    left -= more + (production ? 0 : job.reservedTasks());
    left -= preemption.makeRoom(job, left, PlacementScope.PLAIN);
    if (production && builder.snapshot.settled()) {
      // Last resort: places that tasks with accelerators will miss.
      more = placer.place(job, placed, left, PlacementScope.LAST_RESORT);
      placed += more;
      left -= more;
      left -= preemption.makeRoom(job, left, PlacementScope.LAST_RESORT);
    }
    if (left > 0) {
      unmetDemand.add(new Demand(job, left, IntArrayList.wrap(builder.zones(job))));
    }
    // What keeps the rest may be the team's limit, taken up by its own lesser work.
    int over = job.waiting() - Math.max(allowed, placed + job.reservedTasks());
    if (over > 0 && spec.priority() != Priority.LOW) {
      over -= preemption.makeRoom(job, over, PlacementScope.OWN_TEAM);
    }
    if (over > 0 && production) {
      preemption.makeRoom(job, over, PlacementScope.OWN_TEAM_LAST_RESORT);
    }
    builder.charge(spec, Math.min(job.reservedTasks(), job.waiting() - placed));
  }
}
