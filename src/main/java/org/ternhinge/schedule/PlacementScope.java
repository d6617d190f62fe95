package org.ternhinge.schedule;

/** Which places are considered for a task, and at whose cost. */
enum PlacementScope {
  /** Places that tasks with accelerators won't miss. */
  PLAIN(false, false, false),

  /** The same, where the job's image lies already. */
  CACHED(false, false, true),

  /** Also places that tasks with accelerators will miss. */
  LAST_RESORT(true, false, false),

  /** Only by stopping work of the job's own team, which frees its limit too. */
  OWN_TEAM(false, true, false),

  /** The same, also in places that tasks with accelerators will miss. */
  OWN_TEAM_LAST_RESORT(true, true, false);

  private final boolean mayBlock;
  private final boolean ownTeam;
  private final boolean cached;

  PlacementScope(boolean mayBlock, boolean ownTeam, boolean cached) {
    this.mayBlock = mayBlock;
    this.ownTeam = ownTeam;
    this.cached = cached;
  }

  /** Whether places count that tasks with accelerators will miss. */
  boolean mayBlock() {
    return mayBlock;
  }

  /** Whether only work of the job's own team may be stopped. */
  boolean ownTeam() {
    return ownTeam;
  }

  /** Whether only places count where the job's image lies. */
  boolean cached() {
    return cached;
  }
}
