package org.ternhinge.wire;

/** The state of an attempt as reported by its worker. */
public enum TaskState {
  /** Fetching its image. */
  FETCHING("pulling"),
  /** Waiting for the other tasks of its gang to start the same attempt. */
  WAITING("gathering"),
  /**
   * Running; includes tasks of a gang that has lost a member or is being stopped, until they end.
   */
  RUNNING("running"),
  /** Stopped, and saving a checkpoint. */
  CHECKPOINTING("flushing"),
  /** Ended; the status contains the reason. */
  ENDED("ended");

  /**
   * Cached, since {@link #values()} copies the array and would be called for each reported task.
   */
  private static final TaskState[] ALL = values();

  private final String wireName;

  TaskState(String wireName) {
    this.wireName = wireName;
  }

  /** The name of the state in messages. */
  public String wireName() {
    return wireName;
  }

  /** Parses the name of a state in a message. */
  static TaskState fromWireName(String name) throws WireException {
    for (TaskState state : ALL) {
      if (state.wireName.equals(name)) {
        return state;
      }
    }
    throw new WireException("astand: unknown state");
  }
}
