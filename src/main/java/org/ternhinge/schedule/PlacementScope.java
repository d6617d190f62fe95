package org.ternhinge.schedule;

/** Which machines a search considers and which tasks it may preempt. */
enum PlacementScope {
  /** Only room that does not reduce the number of accelerator slots. */
  STANDARD(false, false, false),

  /** Like {@link #STANDARD}, but only machines that hold the job's image. */
  IMAGE_CACHED(false, false, true),

  /** Also room that reduces the number of accelerator slots. */
  ACCELERATOR_SLOTS(true, false, false),

  /** Preempts only tasks of the job's own team, which also lowers the team's usage. */
  OWN_TEAM(false, true, false),

  /** Like {@link #OWN_TEAM}, but also room that reduces the number of accelerator slots. */
  OWN_TEAM_ACCELERATOR_SLOTS(true, true, false);

  private final boolean mayUseAcceleratorSlots;
  private final boolean ownTeamOnly;
  private final boolean imageCached;

  PlacementScope(boolean mayUseAcceleratorSlots, boolean ownTeamOnly, boolean imageCached) {
    this.mayUseAcceleratorSlots = mayUseAcceleratorSlots;
    this.ownTeamOnly = ownTeamOnly;
    this.imageCached = imageCached;
  }

  /** Whether the search may reduce the number of accelerator slots. */
  boolean mayUseAcceleratorSlots() {
    return mayUseAcceleratorSlots;
  }

  /** Whether the search may preempt only tasks of the job's own team. */
  boolean ownTeamOnly() {
    return ownTeamOnly;
  }

  /** Whether the search considers only machines that hold the job's image. */
  boolean imageCached() {
    return imageCached;
  }
}
