package org.ternhinge.sim;

import java.util.Set;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.JobSpec;

/**
 * Observes the tasks that actually run on the simulated machines, whatever controllers have
 * recorded.
 */
interface TaskObserver {

  /**
   * The start of a task, which occupies its machine from now on.
   *
   * @param alreadyOn other machines on which the task currently is
   */
  record Start(SimWorker machine, TaskId task, JobSpec spec, Set<MachineId> alreadyOn) {}

  /** A task has fetched its image and starts on a machine. */
  void started(Start start);

  /** A started task has left its machine. */
  default void left(SimWorker machine, TaskId task, JobSpec spec) {}
}
