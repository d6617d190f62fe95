package org.ternhinge.wire;

import java.util.Locale;

/** Why an attempt of a task ended, as its worker reports it. */
public enum EndReason {
  /** The task completed; its result is kept. */
  DONE,
  /** Stopped by command. */
  STOPPED,
  /** Another task of the gang is gone. */
  PEERS,
  /** The gang was not complete in time. */
  ALONE,
  /** The task failed, mostly because the machine is faulty. */
  ERROR,
  /** The start was refused: the machine has not enough free resources. */
  NO_ROOM,
  /** The start was refused: the machine has another attempt of the task. */
  BUSY,
  /** The start was refused: no such job or task, or the job has not been submitted. */
  UNKNOWN;

  private final String wireName = name().toLowerCase(Locale.ROOT);

  /** The reason as messages carry it. */
  public String wireName() {
    return wireName;
  }

  /** Parses the reason of a message. */
  static EndReason fromWireName(String word) throws WireException {
    for (EndReason reason : values()) {
      if (reason.wireName().equals(word)) {
        return reason;
      }
    }
    throw new WireException("astaeda: unknown reason");
  }
}
