package org.ternhinge.zone;

import org.ternhinge.model.JobId;

/** What has become of work that was displaced from a lost zone, as the ledger knows it. */
public interface DisplacedWork {
  /** What has become of a task. */
  enum Fate {
    /** It has no attempt and is to get one. */
    WAITING,
    /** It has a new attempt. */
    PLACED,
    /** Nothing of it is to start any more. */
    OVER
  }

  /** What has become of a task. */
  Fate fate(JobId job, int task);

  /**
   * Whether a job could be placed if there were room: it neither backs off nor waits for others.
   */
  boolean isPlaceable(JobId job);
}
