package org.ternhinge.zone;

import org.ternhinge.model.JobId;

/** The current state of displaced tasks, as recorded in the ledger. */
public interface DisplacedWork {
  /** The state of a displaced task. */
  enum TaskState {
    /** It has no open attempt and needs one. */
    PENDING,
    /** It has an open attempt again. */
    PLACED,
    /** It is done or cancelled and needs no new attempt. */
    ENDED
  }

  /** Returns the state of a displaced task. */
  TaskState state(JobId job, int task);

  /**
   * Whether a job could be placed given enough capacity, that is, it is not in backoff and has no
   * unmet dependencies.
   */
  boolean isPlaceable(JobId job);
}
