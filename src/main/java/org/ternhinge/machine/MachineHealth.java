package org.ternhinge.machine;

import org.ternhinge.model.MonotonicTime;

/** Whether one machine is fit for tasks. Guarded by the controller's lock. */
public final class MachineHealth {
  private final MachineFailures failures = new MachineFailures();
  private final CommandReachability reachability = new CommandReachability();
  private MonotonicTime quarantinedUntil;
  private MonotonicTime noRoomUntil;

  /** Failures of tasks since one last succeeded on the machine. */
  MachineFailures failures() {
    return failures;
  }

  /** Whether answers and commands reach the worker. */
  public CommandReachability reachability() {
    return reachability;
  }

  /** Whether the machine is quarantined since tasks fail on it. */
  public boolean isQuarantined(MonotonicTime now) {
    return quarantinedUntil != null && now.isBefore(quarantinedUntil);
  }

  void quarantineUntil(MonotonicTime time) {
    quarantinedUntil = time;
  }

  void endQuarantine() {
    quarantinedUntil = null;
  }

  /** The machine has refused a task for want of room: nothing is placed on it before this time. */
  void refusesTasksUntil(MonotonicTime time) {
    noRoomUntil = time;
  }

  /** Whether the machine has not lately refused a task for want of room. */
  public boolean acceptsTasks(MonotonicTime now) {
    return noRoomUntil == null || noRoomUntil.isBefore(now);
  }
}
