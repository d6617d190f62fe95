package org.ternhinge.machine;

import java.util.List;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.TaskStatus;

/**
 * The tasks that machines say they run. A task that shows on a machine without an open attempt may
 * still run there, so it must not start anywhere else.
 */
public interface ReportedTasks {
  /** Whether some machine shows the task as not ended. */
  boolean isShown(TaskId task);

  /** Replaces what a machine shows. */
  void show(Machine machine, List<TaskStatus> tasks);
}
