package org.ternhinge.wire;

/** What a worker says of a task. */
public enum TaskState {
  FETCHING("pulling"),
  WAITING("gathering"),
  RUNNING("running"),
  SAVING("flushing"),
  ENDED("ended");

  private final String word;

  TaskState(String word) {
    this.word = word;
  }

  public String word() {
    return word;
  }

  static TaskState of(String word) throws WireException {
    for (TaskState state : values()) {
      if (state.word.equals(word)) {
        return state;
      }
    }
    throw new WireException("astand: unknown state");
  }
}
