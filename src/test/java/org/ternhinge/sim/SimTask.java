package org.ternhinge.sim;

import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.TaskState;
import org.ternhinge.wire.TaskStatus;

/** One attempt of a task on a simulated machine, until it is cleared. */
final class SimTask {
  private final TaskId id;
  private final AttemptNumber attempt;
  private TaskState state = TaskState.FETCHING;
  private EndReason endReason;

  SimTask(Command start) {
    this.id = start.task();
    this.attempt = start.attempt();
  }

  TaskId id() {
    return id;
  }

  boolean isFetching() {
    return state == TaskState.FETCHING;
  }

  boolean isRunning() {
    return state == TaskState.RUNNING;
  }

  boolean hasEnded() {
    return state == TaskState.ENDED;
  }

  void markRunning() {
    state = TaskState.RUNNING;
  }

  /** Ends the attempt with its machine or epoch; no heartbeat reports it any more. */
  void kill() {
    state = TaskState.ENDED;
  }

  /** Ends the attempt for a reason that the following heartbeats report. */
  void end(EndReason reason) {
    state = TaskState.ENDED;
    endReason = reason;
  }

  TaskStatus status() {
    return new TaskStatus(id, attempt, state, endReason, false);
  }
}
