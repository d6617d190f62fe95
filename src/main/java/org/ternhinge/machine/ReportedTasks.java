package org.ternhinge.machine;

import java.util.List;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.TaskStatus;

/**
 * The tasks that the heartbeats of machines list. A listed task without an open attempt may still
 * run on the machine, so it must not be started on another one. Guarded by the controller's lock.
 */
public interface ReportedTasks {
  /** Whether a machine lists the task as not ended. */
  boolean isShown(TaskId task);

  /** Replaces the tasks that a machine lists. */
  void show(Machine machine, List<TaskStatus> tasks);
}
