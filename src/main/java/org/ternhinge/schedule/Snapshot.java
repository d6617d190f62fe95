package org.ternhinge.schedule;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.config.Team;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Resources;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.MachineType;

/**
 * The planner's whole input; nothing in it changes while a round is planned.
 *
 * @param expectedJobs jobs that may arrive before a machine provisioned now would be up
 * @param teamUse resources in use by team
 * @param offers what can be provisioned
 * @param pendingProvisions provision requests that the cloud has not answered yet
 * @param lateStartedJobs jobs whose first tasks started after too long a wait and of which none is
 *     done yet
 * @param inventoryComplete whether every live machine has reported to this leader, or has had time
 *     to
 * @param maxIdleS seconds after which an idle machine is released
 */
public record Snapshot(
    List<MachineView> machines,
    List<JobView> jobs,
    List<JobView> expectedJobs,
    Map<String, Team> teams,
    Map<String, Resources> teamUse,
    List<Offer> offers,
    List<PendingProvision> pendingProvisions,
    Set<JobId> lateStartedJobs,
    boolean inventoryComplete,
    double maxIdleS,
    MonotonicTime now) {

  /**
   * A machine.
   *
   * @param zone index of its zone
   * @param ready whether tasks may be placed on it now; otherwise it is expected to come up
   * @param images images that it holds or is fetching
   * @param idleSince since when no attempt has been open on it
   */
  public record MachineView(
      MachineId id,
      MachineType machineType,
      int zone,
      String zoneName,
      boolean spot,
      Resources free,
      boolean ready,
      Set<String> images,
      MonotonicTime idleSince,
      MonotonicTime provisionedAt,
      List<AttemptView> attempts,
      List<Reservation> reservations) {

    /** The same machine, expected to come up. */
    public MachineView notReady() {
      return new MachineView(
          id,
          machineType,
          zone,
          zoneName,
          spot,
          free,
          false,
          images,
          idleSince,
          provisionedAt,
          attempts,
          reservations);
    }
  }

  /** Room on a machine that is reserved for a job, after tasks were preempted for it. */
  public record Reservation(JobId job, Resources room) {}

  /**
   * An open attempt, which may be preempted.
   *
   * @param index index of its task in the job
   * @param runningSince null while it is not running
   */
  public record AttemptView(
      JobSpec spec, int index, boolean stopping, MonotonicTime runningSince) {}

  /**
   * A job with pending tasks: tasks that are neither done nor have an open attempt.
   *
   * @param sortKey its place in the queue, lowest first, among jobs of one priority and guarantee
   * @param waitedS seconds since it could first start
   * @param withinGuarantee whether it fits into its team's guarantee
   * @param overdue whether it has waited too long without any start
   * @param pendingTasks indexes of the first pending tasks, as many as a round may start
   * @param pendingCount number of pending tasks that may start
   * @param openByZone number of open attempts in each zone
   * @param blocked whether nothing of it may start now
   * @param avoidedMachines machines that it failed on
   * @param reservedTasks number of tasks that room is reserved for
   */
  public record JobView(
      JobSpec spec,
      double sortKey,
      double waitedS,
      boolean withinGuarantee,
      boolean overdue,
      IntList pendingTasks,
      int pendingCount,
      IntList openByZone,
      boolean blocked,
      Set<MachineId> avoidedMachines,
      int reservedTasks) {

    /** Tasks of one job that a round may start; more follow in the next round. */
    public static final int MAX_PENDING = 400;

    /** The same job with other pending tasks. */
    public JobView withTasks(IntList otherTasks, int otherCount, boolean otherBlocked) {
      return new JobView(
          spec,
          sortKey,
          waitedS,
          withinGuarantee,
          overdue,
          otherTasks,
          otherCount,
          openByZone,
          otherBlocked,
          avoidedMachines,
          reservedTasks);
    }

    /** A job without pending tasks, for which room is only kept or provisioned. */
    public static JobView expected(JobSpec spec, double sortKey, int zoneCount) {
      IntList open = IntArrayList.wrap(new int[zoneCount]);
      return new JobView(spec, sortKey, 0, false, false, IntList.of(), 0, open, false, Set.of(), 0);
    }
  }

  /** Machines that were requested from the cloud and have no names yet. */
  public record PendingProvision(Offer offer, int count) {}

  /**
   * A machine type that can be provisioned in a zone, as spot or on-demand machine.
   *
   * @param maxCount how many may be provisioned at once
   * @param bootS seconds from the request until such a machine is up in that zone
   */
  public record Offer(
      MachineType machineType,
      int zone,
      String zoneName,
      boolean spot,
      int maxCount,
      double bootS) {

    /** An offer of machines that boot in their type's usual time. */
    public Offer(MachineType machineType, int zone, String zoneName, boolean spot, int maxCount) {
      this(machineType, zone, zoneName, spot, maxCount, machineType.bootS());
    }
  }
}
