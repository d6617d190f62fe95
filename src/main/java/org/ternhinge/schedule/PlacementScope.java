package org.ternhinge.schedule;

/** Which places a search considers, and whose tasks it may preempt. */
enum PlacementScope {
  /** Places that no task with accelerators loses. */
  PLAIN(false, false, false),

  /** The same, on machines that hold the job's image. */
  CACHED(false, false, true),

  /** Also places that tasks with accelerators lose. */
  LAST_RESORT(true, false, false),

  /** Only by preempting tasks of the job's own team, which lowers the team's use as well. */
  OWN_TEAM(false, true, false),

  /** The same, also in places that tasks with accelerators lose. */
  OWN_TEAM_LAST_RESORT(true, true, false);

  private final boolean mayUseAcceleratorPlaces;
  private final boolean ownTeam;
  private final boolean cached;

  PlacementScope(boolean mayUseAcceleratorPlaces, boolean ownTeam, boolean cached) {
    this.mayUseAcceleratorPlaces = mayUseAcceleratorPlaces;
    this.ownTeam = ownTeam;
    this.cached = cached;
  }

  /** Whether places are considered that tasks with accelerators lose. */
  boolean mayUseAcceleratorPlaces() {
    return mayUseAcceleratorPlaces;
  }

  /** Whether only tasks of the job's own team may be preempted. */
  boolean ownTeam() {
    return ownTeam;
  }

  /** Whether only machines are considered that hold the job's image. */
  boolean cached() {
    return cached;
  }
}
