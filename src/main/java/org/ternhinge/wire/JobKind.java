package org.ternhinge.wire;

/** The scheduling model of a job's tasks. */
public enum JobKind {
  /** Independent tasks, each of which runs to completion. */
  ARRAY("batch"),
  /** Gang-scheduled tasks: all of them run at the same time, or none does. */
  GANG("group"),
  /** Replicas that run until the job is cancelled. */
  SERVICE("daemon");

  private final String wireName;

  JobKind(String wireName) {
    this.wireName = wireName;
  }

  /** The name of the kind in messages. */
  public String wireName() {
    return wireName;
  }

  /** Parses the name of a kind in a message. */
  public static JobKind fromWireName(String name) throws WireException {
    for (JobKind kind : values()) {
      if (kind.wireName.equals(name)) {
        return kind;
      }
    }
    throw new WireException("gerd: unknown kind");
  }
}
