package org.ternhinge.wire;

/** What the tasks of a job are to each other. */
public enum JobKind {
  ARRAY("batch"),
  GANG("group"),
  SERVICE("daemon");

  private final String word;

  JobKind(String word) {
    this.word = word;
  }

  /** The kind as messages have it. */
  public String word() {
    return word;
  }

  /** Reads a kind as messages have it. */
  public static JobKind of(String word) throws WireException {
    for (JobKind kind : values()) {
      if (kind.word.equals(word)) {
        return kind;
      }
    }
    throw new WireException("gerd: unknown kind");
  }
}
