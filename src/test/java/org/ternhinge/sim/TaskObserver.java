package org.ternhinge.sim;

import java.util.Set;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.JobSpec;

/** Observes what really runs on the simulated machines, whatever the controllers have recorded. */
interface TaskObserver {

  /**
   * The start of a task, which holds its place from now on.
   *
   * @param alreadyOn other machines on which the task is at that moment
   */
  record Start(SimWorker machine, TaskId task, JobSpec spec, Set<MachineId> alreadyOn) {}

  /** A task has its image and takes its place on a machine. */
  void started(Start start);

  /** A task that had started is on its machine no more. */
  default void left(SimWorker machine, TaskId task, JobSpec spec) {}
}
