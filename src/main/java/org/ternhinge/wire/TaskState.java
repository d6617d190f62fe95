package org.ternhinge.wire;

/** What a worker says of a task. */
public enum TaskState {
  FETCHING("pulling"),
  WAITING("gathering"),
  RUNNING("running"),
  CHECKPOINTING("flushing"),
  ENDED("ended");

  /** Kept, for {@link #values()} makes a new array each time and heartbeats ask for each task. */
  private static final TaskState[] ALL = values();

  private final String word;

  TaskState(String word) {
    this.word = word;
  }

  /** The state as messages have it. */
  public String word() {
    return word;
  }

  static TaskState of(String word) throws WireException {
    for (TaskState state : ALL) {
      if (state.word.equals(word)) {
        return state;
      }
    }
    throw new WireException("astand: unknown state");
  }
}
