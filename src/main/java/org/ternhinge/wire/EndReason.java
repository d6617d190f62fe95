package org.ternhinge.wire;

import java.util.Locale;

/** Why a task ended. */
public enum EndReason {
  DONE,
  STOPPED,
  PEERS,
  ALONE,
  ERROR,
  NO_ROOM,
  BUSY,
  UNKNOWN;

  private final String word = name().toLowerCase(Locale.ROOT);

  /** The reason as messages have it. */
  public String word() {
    return word;
  }

  static EndReason of(String word) throws WireException {
    for (EndReason reason : values()) {
      if (reason.word().equals(word)) {
        return reason;
      }
    }
    throw new WireException("astaeda: unknown reason");
  }
}
