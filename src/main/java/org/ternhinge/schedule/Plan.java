package org.ternhinge.schedule;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;

/** What the planner wants done; admission has the last word on each. */
public final class Plan {
  /** Tasks of a job to open together, each on the machine at its position. */
  public record Place(JobId job, List<Integer> tasks, List<MachineId> machines) {}

  /** Tasks to stop so that a job finds room on a machine. */
  public record Stop(MachineId machine, JobId forJob, Resources room, List<Victim> victims) {}

  /** A task to stop; of a gang, every task is stopped. */
  public record Victim(JobId job, int index) {}

  /** Machines to provision. */
  public record ScaleOut(String type, String zone, boolean spot, int count) {}

  private final List<Place> places = new ArrayList<>();
  private final List<Stop> stops = new ArrayList<>();
  private final List<ScaleOut> scaleOuts = new ArrayList<>();
  private final List<MachineId> releases = new ArrayList<>();
  private long evaluations;

  /** Tasks to start, and where. */
  public List<Place> places() {
    return places;
  }

  /** Tasks to stop, and for which job. */
  public List<Stop> stops() {
    return stops;
  }

  /** Machines to provision. */
  public List<ScaleOut> scaleOuts() {
    return scaleOuts;
  }

  /** Machines to return. */
  public List<MachineId> releases() {
    return releases;
  }

  /** Evaluations of candidate machines that this plan took. */
  public long evaluations() {
    return evaluations;
  }

  void evaluations(long count) {
    evaluations = count;
  }
}
