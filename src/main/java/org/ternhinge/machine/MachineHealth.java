package org.ternhinge.machine;

import org.ternhinge.model.MonotonicTime;

/**
 * The health state of one machine, which decides whether tasks may be placed on it. Guarded by the
 * controller's lock.
 */
public final class MachineHealth {
  private final MachineFailures failures = new MachineFailures();
  private final CommandReachability reachability = new CommandReachability();
  private MonotonicTime quarantinedUntil;
  private MonotonicTime placementsBlockedUntil;

  /** Returns the failures of tasks since the last success on the machine. */
  MachineFailures failures() {
    return failures;
  }

  /** Returns the tracker of whether answers and commands reach the worker. */
  public CommandReachability reachability() {
    return reachability;
  }

  /** Returns whether the machine is quarantined because tasks fail on it. */
  public boolean isQuarantined(MonotonicTime now) {
    return quarantinedUntil != null && now.isBefore(quarantinedUntil);
  }

  void quarantineUntil(MonotonicTime time) {
    quarantinedUntil = time;
  }

  void endQuarantine() {
    quarantinedUntil = null;
  }

  /**
   * Blocks placements until the given time because the machine refused a task for lack of
   * resources.
   */
  void blockPlacementsUntil(MonotonicTime time) {
    placementsBlockedUntil = time;
  }

  /** Returns whether the machine has not recently refused a task for lack of resources. */
  public boolean acceptsTasks(MonotonicTime now) {
    return placementsBlockedUntil == null || placementsBlockedUntil.isBefore(now);
  }
}
