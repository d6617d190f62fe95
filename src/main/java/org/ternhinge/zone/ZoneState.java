package org.ternhinge.zone;

import java.util.Locale;
import java.util.Optional;

/** The state of a zone. */
public enum ZoneState {
  /** It accepts new work without a limit. */
  AVAILABLE,
  /**
   * Many of its machines are impaired; no new work is placed there until its state is determined.
   */
  SUSPECT,
  /** It is lost; its tasks are moved to other zones once their attempts have certainly ended. */
  UNAVAILABLE,
  /** Its machines are healthy again; it accepts new work at a limited rate. */
  RECOVERING;

  /** Returns the name of the state in logs and records. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Parses the name of a state in logs and records. */
  public static Optional<ZoneState> of(String label) {
    for (ZoneState state : values()) {
      if (state.label().equals(label)) {
        return Optional.of(state);
      }
    }
    return Optional.empty();
  }

  /** Whether new work may be placed in the zone. */
  public boolean acceptsWork() {
    return this == AVAILABLE || this == RECOVERING;
  }
}
