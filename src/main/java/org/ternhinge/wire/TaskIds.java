package org.ternhinge.wire;

import org.ternhinge.model.TaskId;

/** Parses task ids in messages. */
final class TaskIds {
  private TaskIds() {}

  /** Parses a task id; the exception names the field. */
  static TaskId parse(String text, String field) throws WireException {
    try {
      return TaskId.parse(text);
    } catch (IllegalArgumentException e) {
      throw new WireException(field + ": not a task");
    }
  }
}
