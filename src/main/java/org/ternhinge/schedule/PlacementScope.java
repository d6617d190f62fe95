package org.ternhinge.schedule;

/** Which machines a search considers and which tasks it may preempt. */
enum PlacementScope {
  /** Only room that does not reduce the number of accelerator slots. */
  PLAIN(false, false, false),

  /** Like {@link #PLAIN}, but only machines that hold the job's image. */
  CACHED(false, false, true),

  /** Also room that reduces the number of accelerator slots. */
  LAST_RESORT(true, false, false),

  /** Preempts only tasks of the job's own team, which also lowers the team's usage. */
  OWN_TEAM(false, true, false),

  /** Like {@link #OWN_TEAM}, but also room that reduces the number of accelerator slots. */
  OWN_TEAM_LAST_RESORT(true, true, false);

  private final boolean mayUseAcceleratorPlaces;
  private final boolean ownTeam;
  private final boolean cached;

  PlacementScope(boolean mayUseAcceleratorPlaces, boolean ownTeam, boolean cached) {
    this.mayUseAcceleratorPlaces = mayUseAcceleratorPlaces;
    this.ownTeam = ownTeam;
    this.cached = cached;
  }

  /** Whether the search may reduce the number of accelerator slots. */
  boolean mayUseAcceleratorPlaces() {
    return mayUseAcceleratorPlaces;
  }

  /** Whether the search may preempt only tasks of the job's own team. */
  boolean ownTeam() {
    return ownTeam;
  }

  /** Whether the search considers only machines that hold the job's image. */
  boolean cached() {
    return cached;
  }
}
