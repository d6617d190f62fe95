package org.ternhinge.wire;

import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.TaskId;

/**
 * One task in a worker's report.
 *
 * @param why null until the task has ended
 */
public record TaskReport(
    TaskId task, AttemptNumber attempt, TaskState state, EndReason why, boolean saved) {

  public boolean ended() {
    return state == TaskState.ENDED;
  }
}
