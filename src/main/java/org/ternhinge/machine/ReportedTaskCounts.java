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
  private final Object2IntOpenHashMap<TaskId> machinesByTask = new Object2IntOpenHashMap<>();

  @Override
  public boolean isShown(TaskId task) {
    return machinesByTask.containsKey(task);
  }

  @Override
  public void show(Machine machine, List<TaskStatus> tasks) {
    for (TaskStatus task : machine.tasks()) {
      if (!task.ended() && machinesByTask.addTo(task.task(), -1) <= 1) {
        machinesByTask.removeInt(task.task());
      }
    }
    for (TaskStatus task : tasks) {
      if (!task.ended()) {
        machinesByTask.addTo(task.task(), 1);
      }
    }
    machine.tasks(tasks);
  }
}
