package org.ternhinge.scaling;

/** Why an idle machine is released although the planner has not decided so. */
enum ReleaseReason {
  /** It has not come up within the time allowed. */
  NEVER_UP("never up"),
  /** Its worker has been silent past its lease and the time allowed after it. */
  SILENT("silent"),
  /** Its worker sends heartbeats, but answers and commands do not reach it. */
  UNREACHABLE("unreachable by commands"),
  /** Tasks fail on it. */
  QUARANTINED("quarantined");

  private final String description;

  ReleaseReason(String description) {
    this.description = description;
  }

  /** The reason as in the log. */
  @Override
  public String toString() {
    return description;
  }
}
