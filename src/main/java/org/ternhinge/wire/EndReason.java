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

  public String word() {
    return name().toLowerCase(Locale.ROOT);
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
