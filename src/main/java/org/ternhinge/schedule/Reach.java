package org.ternhinge.schedule;

/**
 * How far to go for a place.
 *
 * @param mayBlock also where tasks with accelerators would miss it
 * @param ownTeam only by stopping work of the job's own team, which frees its limit too
 * @param cached only where the image lies
 */
record Reach(boolean mayBlock, boolean ownTeam, boolean cached) {
  static final Reach PLAIN = new Reach(false, false, false);
  static final Reach CACHED = new Reach(false, false, true);
  static final Reach LAST = new Reach(true, false, false);
  static final Reach OWN = new Reach(false, true, false);
  static final Reach OWN_LAST = new Reach(true, true, false);
}
