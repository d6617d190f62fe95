package org.ternhinge.schedule;

/**
 * How far to go for a place.
 *
 * @param mayBlock also where tasks with accelerators would miss it
 * @param ownTeam only by stopping work of the job's own team, which frees its limit too
 * @param cached only where the image lies
 */
record PlacementScope(boolean mayBlock, boolean ownTeam, boolean cached) {
  static final PlacementScope PLAIN = new PlacementScope(false, false, false);
  static final PlacementScope CACHED = new PlacementScope(false, false, true);
  static final PlacementScope LAST = new PlacementScope(true, false, false);
  static final PlacementScope OWN = new PlacementScope(false, true, false);
  static final PlacementScope OWN_LAST = new PlacementScope(true, true, false);
}
