package org.ternhinge.wire;

/** The state of an attempt as its worker reports it. */
public enum TaskState {
  /** Waits for its image. */
  FETCHING("pulling"),
  /** Task of a gang that waits for the other tasks of its attempt. */
  WAITING("gathering"),
  /** Runs; also a task of a gang that has lost a task or is being stopped, until it ends. */
  RUNNING("running"),
  /** Was stopped and is saving a checkpoint. */
  CHECKPOINTING("flushing"),
  /** Has ended, for a reason that the status names. */
  ENDED("ended");

  /** Cached, since {@link #values()} copies the array and is needed for each reported task. */
  private static final TaskState[] ALL = values();

  private final String wireName;

  TaskState(String word) {
    this.wireName = word;
  }

  /** The state as messages carry it. */
  public String wireName() {
    return wireName;
  }

  /** Parses the state of a message. */
  static TaskState fromWireName(String word) throws WireException {
    for (TaskState state : ALL) {
      if (state.wireName.equals(word)) {
        return state;
      }
    }
    throw new WireException("astand: unknown state");
  }
}
