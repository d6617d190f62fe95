package org.ternhinge.schedule;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;

/** What the planner wants done; admission has the last word on each. */
public record Plan(
    List<Place> places, List<Stop> stops, List<Rent> rents, List<MachineId> releases) {

  public Plan() {
    this(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
  }

  /** Tasks of a job to open together, each on the machine at its position. */
  public record Place(JobId job, List<Integer> tasks, List<MachineId> machines) {}

  /** Tasks to stop so that a job finds room on a machine. */
  public record Stop(MachineId machine, JobId forJob, Resources room, List<Victim> victims) {}

  /** A task to stop; of a gang, every task is stopped. */
  public record Victim(JobId job, int index) {}

  /** Machines to rent. */
  public record Rent(String type, String zone, boolean spot, int count) {}
}
