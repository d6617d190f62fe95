package org.ternhinge.zone;

/** The reason for a step of displaced tasks, or for their delay, as written to the log. */
enum DisplacementReason {
  /** Their attempts ended because the zone was lost. */
  ZONE_LOST("zone-lost"),
  /** Their tier may be released now. */
  TURN("turn"),
  /** They have new attempts. */
  PLACED("placed"),
  /** They are restricted to the lost zone. */
  PINNED_TO_ZONE("pinned-to-zone"),
  /** Their job is in backoff after failures or has unmet dependencies. */
  BACKOFF_OR_DEPENDENCY("backs-off-or-depends"),
  /** There is no capacity for them, or the limit of their team is reached. */
  NO_ROOM_OR_LIMIT("no-room-or-limit"),
  /** Tasks of a higher tier are released first. */
  HIGHER_TIER_FIRST("higher-tier-first");

  private final String label;

  DisplacementReason(String label) {
    this.label = label;
  }

  /** The name of the reason in the log. */
  String label() {
    return label;
  }
}
