package org.ternhinge.scaling;

/** Why an idle machine is released without a decision of the planner. */
enum ReleaseReason {
  /** No heartbeat arrived within the boot time-out. */
  BOOT_TIMEOUT("no heartbeat within the boot time-out"),
  /** The lease of the worker has expired, and it stayed silent beyond the grace period. */
  SILENT("no heartbeat since the lease expired"),
  /** The worker sends heartbeats, but answers and commands do not reach it. */
  UNREACHABLE("unreachable by commands"),
  /** The machine is quarantined because tasks repeatedly fail on it. */
  QUARANTINED("quarantined");

  private final String description;

  ReleaseReason(String description) {
    this.description = description;
  }

  /** Formats the reason for the log. */
  @Override
  public String toString() {
    return description;
  }
}
