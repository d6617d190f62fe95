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
 * The complete input of the planner. It does not change while a round is planned.
 *
 * @param expectedJobs jobs that may arrive before a machine that is provisioned now is up
 * @param teamUse resources in use, by team
 * @param offers the machines that can be provisioned
 * @param pendingProvisions provision requests that the cloud has not answered yet
 * @param lateStartedJobs jobs whose first tasks started only after the job was overdue, and of
 *     which no task is done yet
 * @param inventoryComplete whether every live machine has reported to this leader or has had enough
 *     time to report
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
   * A machine that is ready or expected to become ready.
   *
   * @param zone index of the zone
   * @param ready whether tasks may be placed on it now; otherwise it is expected to become ready
   * @param images images that it holds or is fetching
   * @param idleSince time since which it has had no open attempt
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

    /** A copy of this view that is not ready. */
    public MachineView asNotReady() {
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

  /** Room on a machine that is reserved for a job for which tasks were preempted. */
  public record Reservation(JobId job, Resources room) {}

  /**
   * An open attempt, which may be preempted.
   *
   * @param index index of the task in the job
   * @param runningSince time since which it has been running; null if it is not running
   */
  public record AttemptView(
      JobSpec spec, int index, boolean stopping, MonotonicTime runningSince) {}

  /**
   * A job with pending tasks: tasks that are neither done nor have an open attempt.
   *
   * @param sortKey position in the queue, lowest first, among jobs of equal priority and guarantee
   * @param waitedS seconds since the job first became ready to start
   * @param withinGuarantee whether it fits into its team's guarantee
   * @param overdue whether it has waited too long without a started task
   * @param pendingTasks indexes of the first pending tasks, at most as many as a round may start
   * @param pendingCount number of pending tasks that may start
   * @param openByZone number of open attempts in each zone
   * @param blocked whether none of its tasks may start now, because of earlier failures
   * @param avoidedMachines machines on which it has failed
   * @param reservedTasks number of tasks for which room is reserved
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

    /** Maximum tasks of one job that a round starts; the rest follow in later rounds. */
    public static final int MAX_PENDING_TASKS = 400;

    /** A copy of this view with other pending tasks. */
    public JobView withPendingTasks(IntList otherTasks, int otherCount, boolean otherBlocked) {
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

    /** A job without pending tasks, for which room is only reserved or provisioned. */
    public static JobView expected(JobSpec spec, double sortKey, int zoneCount) {
      IntList open = IntArrayList.wrap(new int[zoneCount]);
      return new JobView(spec, sortKey, 0, false, false, IntList.of(), 0, open, false, Set.of(), 0);
    }
  }

  /** Machines that were requested from the cloud and have no identifiers yet. */
  public record PendingProvision(Offer offer, int count) {}

  /**
   * A machine type that can be provisioned in a zone, as a spot or an on-demand machine.
   *
   * @param maxCount maximum number of machines to provision at once
   * @param bootS expected seconds from the request until a machine is up in that zone
   */
  public record Offer(
      MachineType machineType,
      int zone,
      String zoneName,
      boolean spot,
      int maxCount,
      double bootS) {

    /** Creates an offer with the usual boot time of the machine type. */
    public Offer(MachineType machineType, int zone, String zoneName, boolean spot, int maxCount) {
      this(machineType, zone, zoneName, spot, maxCount, machineType.bootS());
    }
  }
}
