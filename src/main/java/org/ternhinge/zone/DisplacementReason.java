package org.ternhinge.zone;

/** Why displaced tasks take a step or still wait, as the log has it. */
enum DisplacementReason {
  /** Their attempts ended with the zone. */
  ZONE_LOST("zone-lost"),
  /** Their tier's turn has come. */
  TURN("turn"),
  /** They have new attempts. */
  PLACED("placed"),
  /** They may run in the lost zone only. */
  PINNED_TO_ZONE("pinned-to-zone"),
  /** Their job backs off after failures, or depends on other jobs. */
  BACKOFF_OR_DEPENDENCY("backs-off-or-depends"),
  /** There is no room for them, or their team's limit is reached. */
  NO_ROOM_OR_LIMIT("no-room-or-limit"),
  /** Tasks of a higher tier are released first. */
  HIGHER_TIER_FIRST("higher-tier-first");

  private final String label;

  DisplacementReason(String word) {
    this.label = word;
  }

  /** The reason as logs have it. */
  String label() {
    return label;
  }
}
