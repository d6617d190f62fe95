package org.ternhinge.machine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;

/**
 * Failures of one job's tasks since the last success: the machines on which they failed and the
 * back-off of the job. Guarded by the controller's lock.
 */
final class JobFailures {
  /**
   * Seconds for which a job avoids a machine after a failure on it. Faulty machines are quarantined
   * for all jobs; if a job avoided machines indefinitely, one that fits on few machines would wait
   * although they are free.
   */
  static final double AVOIDANCE_S = 45;

  /** Time of the last failure, by machine. */
  private final Map<MachineId, MonotonicTime> lastFailures = new HashMap<>();

  /** Number of back-offs since the last success; 0 if the job does not back off. */
  private int backoffLevel;

  /** No task of the job is started before this time; null if unlimited. */
  private MonotonicTime blockedUntil;

  /** Records the failure of a task on a machine. */
  void recordFailure(MachineId machine, MonotonicTime now) {
    lastFailures.put(machine, now);
  }

  /** Returns the number of machines on which tasks have failed. */
  int machineCount() {
    return lastFailures.size();
  }

  /** Returns a copy of the machines on which tasks have failed. */
  Set<MachineId> machines() {
    return Set.copyOf(lastFailures.keySet());
  }

  int backoffLevel() {
    return backoffLevel;
  }

  /** Blocks the job until the given time, which replaces an earlier limit. */
  void blockUntil(MonotonicTime time) {
    blockedUntil = time;
  }

  /** Sets the back-off level and blocks the job until the given time. */
  void backOff(int level, MonotonicTime until) {
    backoffLevel = level;
    blockedUntil = until;
  }

  /** Returns whether no task of the job may be started now. */
  boolean isBlocked(MonotonicTime now) {
    return blockedUntil != null && now.isBefore(blockedUntil);
  }

  /**
   * Returns whether the job backs off, so that its tasks are tried one at a time until one
   * succeeds.
   */
  boolean isBackingOff() {
    return backoffLevel > 0;
  }

  /** Returns the machines on which no task of the job should be placed now. */
  Set<MachineId> avoidedMachines(MonotonicTime now) {
    Set<MachineId> avoided = new HashSet<>();
    lastFailures.forEach(
        (machine, failedAt) -> {
          if (now.secondsSince(failedAt) < AVOIDANCE_S) {
            avoided.add(machine);
          }
        });
    return avoided;
  }
}
