package org.ternhinge.schedule;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;

/**
 * The decisions of one scheduling round. They are based on a snapshot, so the executor has to check
 * each of them against the current state.
 */
public final class Plan {
  /**
   * Tasks of one job to start.
   *
   * @param tasks indexes of the tasks
   * @param machines the machine of each task, in the same order
   */
  public record Placement(JobId job, List<Integer> tasks, List<MachineId> machines) {}

  /**
   * Tasks to stop on a machine to make room for a task of another job.
   *
   * @param room the resources to reserve on the machine for that job
   */
  public record Preemption(MachineId machine, JobId forJob, Resources room, List<Victim> victims) {}

  /** A task to stop. If it belongs to a gang, the whole gang is stopped. */
  public record Victim(JobId job, int index) {}

  /** Machines of one type to provision in one zone. */
  public record ScaleOut(String type, String zone, boolean spot, int count) {}

  private final List<Placement> placements = new ArrayList<>();
  private final List<Preemption> preemptions = new ArrayList<>();
  private final List<ScaleOut> scaleOuts = new ArrayList<>();
  private final List<MachineId> releases = new ArrayList<>();
  private long evaluations;

  /** Tasks to start, with their machines. */
  public List<Placement> placements() {
    return placements;
  }

  /** Tasks to stop, with the job that gets their room. */
  public List<Preemption> preemptions() {
    return preemptions;
  }

  /** Machines to provision. */
  public List<ScaleOut> scaleOuts() {
    return scaleOuts;
  }

  /** Idle machines to release. */
  public List<MachineId> releases() {
    return releases;
  }

  /** Number of evaluations of a job against a machine or an offer while planning. */
  public long evaluations() {
    return evaluations;
  }

  void evaluations(long count) {
    evaluations = count;
  }
}
