package org.ternhinge.wire;

import java.util.Locale;

/** Why an attempt of a task ended, as reported by its worker. */
public enum EndReason {
  /** The task completed; its result is kept. */
  DONE,
  /** The task was stopped by a command. */
  STOPPED,
  /** The attempt lost another task of its gang. */
  PEERS,
  /** The gang did not assemble within the time limit. */
  ALONE,
  /** The task failed; the usual cause is a faulty machine. */
  ERROR,
  /** The start was refused: the machine has too few free resources. */
  NO_ROOM,
  /** The start was refused: the machine has another attempt of the task. */
  BUSY,
  /** The start was refused: the job or task does not exist or has not been submitted. */
  UNKNOWN;

  private final String wireName = name().toLowerCase(Locale.ROOT);

  /** The name of the reason in messages. */
  public String wireName() {
    return wireName;
  }

  /** Parses the name of a reason in a message. */
  static EndReason fromWireName(String name) throws WireException {
    for (EndReason reason : values()) {
      if (reason.wireName().equals(name)) {
        return reason;
      }
    }
    throw new WireException("astaeda: unknown reason");
  }
}
