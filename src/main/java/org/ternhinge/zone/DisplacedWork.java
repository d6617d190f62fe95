package org.ternhinge.zone;

import org.ternhinge.model.JobId;

/** The present state of displaced work, as the ledger has it. */
public interface DisplacedWork {
  /** The state of a displaced task. */
  enum TaskState {
    /** It has no attempt and is to get one. */
    PENDING,
    /** It has a new attempt. */
    PLACED,
    /** It is done or cancelled: it needs no new attempt. */
    ENDED
  }

  /** The state of a task. */
  TaskState state(JobId job, int task);

  /**
   * Whether a job could be placed if there were room: it neither backs off nor has unmet
   * dependencies.
   */
  boolean isPlaceable(JobId job);
}
