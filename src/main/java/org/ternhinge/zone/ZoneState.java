package org.ternhinge.zone;

import java.util.Locale;
import java.util.Optional;

/** The state of a zone. */
public enum ZoneState {
  /** It takes new work without a limit. */
  AVAILABLE,
  /** Many of its machines are impaired: nothing new is placed there for now. */
  SUSPECT,
  /** It is lost: its work moves to other zones once its attempts have certainly ended. */
  UNAVAILABLE,
  /** It has returned and takes new work at a limited pace. */
  RECOVERING;

  /** The state as logs and records have it. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Reads a state as logs and records have it. */
  public static Optional<ZoneState> of(String word) {
    for (ZoneState state : values()) {
      if (state.label().equals(word)) {
        return Optional.of(state);
      }
    }
    return Optional.empty();
  }

  /** Whether new work may be placed there at all. */
  public boolean acceptsWork() {
    return this == AVAILABLE || this == RECOVERING;
  }
}
