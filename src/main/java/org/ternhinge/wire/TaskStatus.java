package org.ternhinge.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.TaskId;

/**
 * The status of one task in a worker's heartbeat.
 *
 * @param task the task
 * @param attempt the attempt that the worker runs or has run
 * @param state the state of the attempt
 * @param endReason why the attempt ended; null until then. An Optional would be allocated for each
 *     task of each heartbeat
 * @param saved whether a stopped attempt has saved a checkpoint
 */
public record TaskStatus(
    TaskId task, AttemptNumber attempt, TaskState state, EndReason endReason, boolean saved) {

  /** Whether the attempt has ended. */
  public boolean ended() {
    return state == TaskState.ENDED;
  }

  /** Writes the status into an empty object. */
  void write(ObjectNode out) {
    out.put("verkbiti", task.toString()).put("tilraun", attempt.value());
    out.put("astand", state.wireName());
    if (endReason != null) {
      out.put("astaeda", endReason.wireName());
    }
    if (saved) {
      out.put("saved", true);
    }
  }

  // Explicit for performance; see the documentation of package model.
  @Override
  public boolean equals(Object other) {
    return other instanceof TaskStatus that
        && that.state == state
        && that.endReason == endReason
        && that.saved == saved
        && that.task.equals(task)
        && that.attempt.equals(attempt);
  }

  @Override
  public int hashCode() {
    return 31 * task.hashCode() + attempt.hashCode();
  }
}
