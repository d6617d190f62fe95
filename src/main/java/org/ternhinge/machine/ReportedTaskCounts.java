package org.ternhinge.machine;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.List;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.TaskStatus;

/**
 * Counts for each task the machines that list it. An update applies the difference between
 * consecutive messages of one machine, so that its cost does not depend on the size of the fleet.
 * Guarded by the controller's lock.
 */
public final class ReportedTaskCounts implements ReportedTasks {
  private final Object2IntOpenHashMap<TaskId> machineCounts = new Object2IntOpenHashMap<>();

  @Override
  public boolean isReported(TaskId task) {
    return machineCounts.containsKey(task);
  }

  @Override
  public void update(Machine machine, List<TaskStatus> tasks) {
    for (TaskStatus task : machine.tasks()) {
      if (!task.ended() && machineCounts.addTo(task.task(), -1) <= 1) {
        machineCounts.removeInt(task.task());
      }
    }
    for (TaskStatus task : tasks) {
      if (!task.ended()) {
        machineCounts.addTo(task.task(), 1);
      }
    }
    machine.setTasks(tasks);
  }
}
