package org.ternhinge.wire;

import org.ternhinge.model.TaskId;

/** Reads task ids from messages. */
final class TaskIds {
  private TaskIds() {}

  /** Parses the task id in a field, which the error names. */
  static TaskId parse(String text, String field) throws WireException {
    try {
      return TaskId.parse(text);
    } catch (IllegalArgumentException e) {
      throw new WireException(field + ": not a task");
    }
  }
}
