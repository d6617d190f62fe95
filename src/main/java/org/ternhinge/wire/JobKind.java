package org.ternhinge.wire;

/** How the tasks of a job relate to one another. */
public enum JobKind {
  /** Independent tasks, each of which runs to completion. */
  ARRAY("batch"),
  /** All tasks run at the same time, or none does. */
  GANG("group"),
  /** Replicas that run until the job is cancelled. */
  SERVICE("daemon");

  private final String wireName;

  JobKind(String word) {
    this.wireName = word;
  }

  /** The kind as messages carry it. */
  public String wireName() {
    return wireName;
  }

  /** Parses the kind of a message. */
  public static JobKind fromWireName(String word) throws WireException {
    for (JobKind kind : values()) {
      if (kind.wireName.equals(word)) {
        return kind;
      }
    }
    throw new WireException("gerd: unknown kind");
  }
}
