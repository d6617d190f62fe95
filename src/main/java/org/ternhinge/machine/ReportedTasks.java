package org.ternhinge.machine;

import java.util.List;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.TaskStatus;

/**
 * The tasks listed in the heartbeats of machines. A listed task without an open attempt may still
 * be running, so it must not be started on another machine. Guarded by the controller's lock.
 */
public interface ReportedTasks {
  /** Returns whether any machine lists a task that has not ended. */
  boolean isReported(TaskId task);

  /** Replaces the tasks that a machine lists. */
  void update(Machine machine, List<TaskStatus> tasks);
}
