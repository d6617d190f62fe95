package org.ternhinge.schedule;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;

/**
 * The decisions of one scheduling round. They rest on a snapshot, so whoever carries them out has
 * to check each of them against the present state.
 */
public final class Plan {
  /**
   * Tasks of one job to start together.
   *
   * @param tasks indexes of the tasks
   * @param machines the machine of each task, in the same order
   */
  public record Placement(JobId job, List<Integer> tasks, List<MachineId> machines) {}

  /**
   * Tasks to stop on a machine, so that a task of another job fits there.
   *
   * @param room the resources to reserve on the machine for that job
   */
  public record Preemption(MachineId machine, JobId forJob, Resources room, List<Victim> victims) {}

  /** A task to stop. Where it belongs to a gang, the whole gang is stopped. */
  public record Victim(JobId job, int index) {}

  /** Machines of one type to provision in one zone. */
  public record ScaleOut(String type, String zone, boolean spot, int count) {}

  private final List<Placement> placements = new ArrayList<>();
  private final List<Preemption> preemptions = new ArrayList<>();
  private final List<ScaleOut> scaleOuts = new ArrayList<>();
  private final List<MachineId> releases = new ArrayList<>();
  private long evaluations;

  /** Tasks to start, each with its machine. */
  public List<Placement> placements() {
    return placements;
  }

  /** Tasks to stop, each with the job that gets its room. */
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

  /** How many times a job was evaluated against a machine or an offer for this plan. */
  public long evaluations() {
    return evaluations;
  }

  void evaluations(long count) {
    evaluations = count;
  }
}
