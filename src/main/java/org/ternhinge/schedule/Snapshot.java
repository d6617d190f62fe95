package org.ternhinge.schedule;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.config.Team;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.MachineType;

/**
 * All that the planner decides from; nothing in it changes while it decides.
 *
 * @param expectedJobs jobs as they may arrive before a provisioned machine could be up
 * @param startedLate jobs that got their first tasks after too long a wait and have none done yet
 * @param settled whether this leadership is old enough for every live machine to have reported
 */
public record Snapshot(
    List<MachineView> machines,
    List<JobView> jobs,
    List<JobView> expectedJobs,
    Map<String, Team> teams,
    Map<String, Resources> teamUse,
    List<Offer> offers,
    List<PendingProvision> pendingProvisions,
    Set<JobId> startedLate,
    boolean settled,
    double idleS,
    SteadyTime now) {

  /**
   * A machine.
   *
   * @param ready whether tasks may be placed on it now; otherwise it is expected to come up
   * @param images images that it is known to hold or to fetch
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
      SteadyTime idleSince,
      SteadyTime provisionedAt,
      List<AttemptView> attempts,
      List<Reservation> reservations) {

    /** The same machine as one on which nothing may be placed now, but before long. */
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

  /** Room kept on a machine for a job, after tasks were stopped for it. */
  public record Reservation(JobId job, Resources room) {}

  /**
   * An open attempt, as something that could be stopped.
   *
   * @param runningSince null while it does not run
   */
  public record AttemptView(JobSpec spec, int index, boolean stopping, SteadyTime runningSince) {}

  /**
   * A job with tasks to place.
   *
   * @param rank place in the queue, lowest first, among jobs of one priority and guarantee
   * @param late whether it has waited too long without any start
   * @param pending the first tasks without an open attempt, as many as a round may start
   * @param waiting how many tasks are without an open attempt
   * @param zoneOpen open attempts by zone
   * @param ageS seconds since it was accepted
   * @param guaranteed whether it lies within its team's guarantee
   * @param avoid machines that it failed on
   */
  public record JobView(
      JobSpec spec,
      double rank,
      double ageS,
      boolean guaranteed,
      boolean late,
      IntList pending,
      int waiting,
      IntList zoneOpen,
      boolean blocked,
      Set<MachineId> avoid,
      int reservedTasks) {

    /** Tasks of one job that a round may start; more come with the next round. */
    public static final int MAX_PENDING = 400;

    /** The same job with other tasks to place. */
    public JobView withTasks(IntList otherPending, int otherWaiting, boolean otherBlocked) {
      return new JobView(
          spec,
          rank,
          ageS,
          guaranteed,
          late,
          otherPending,
          otherWaiting,
          zoneOpen,
          otherBlocked,
          avoid,
          reservedTasks);
    }

    /** A job of which nothing waits yet, to keep or provision room for. */
    public static JobView expected(JobSpec spec, double rank, int zoneCount) {
      IntList open = IntArrayList.wrap(new int[zoneCount]);
      return new JobView(spec, rank, 0, false, false, IntList.of(), 0, open, false, Set.of(), 0);
    }
  }

  /** Machines that were asked for and whose names are not known yet. */
  public record PendingProvision(Offer of, int count) {}

  /**
   * A machine type that can be provisioned in a zone, as spot or ordinary.
   *
   * @param most how many may be provisioned at once
   * @param bootS how long such a machine takes to come up there, in seconds
   */
  public record Offer(
      MachineType machineType, int zone, String zoneName, boolean spot, int most, double bootS) {

    /** An offer of machines that come up in their type's usual time. */
    public Offer(MachineType machineType, int zone, String zoneName, boolean spot, int most) {
      this(machineType, zone, zoneName, spot, most, machineType.bootS());
    }
  }
}
