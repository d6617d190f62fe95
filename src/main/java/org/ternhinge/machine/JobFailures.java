package org.ternhinge.machine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;

/**
 * The failures of one job's tasks since one of them last succeeded: the machines on which they
 * failed, and the job's back-off. Guarded by the controller's lock.
 */
final class JobFailures {
  /**
   * Seconds for which a job avoids a machine after a failure there. A faulty machine is quarantined
   * for all jobs; if a job avoided its machines for ever, one that fits only few machines would
   * wait although they are free.
   */
  static final double AVOID_S = 45;

  /** Time of the last failure on each machine. */
  private final Map<MachineId, MonotonicTime> lastFailures = new HashMap<>();

  /** Number of times that the back-off has grown; 0 while the job does not back off. */
  private int backoffLevel;

  /** No task of the job is started before this time; null where there is no limit. */
  private MonotonicTime startsAfter;

  /** Records that a task has failed on a machine. */
  void failedOn(MachineId machine, MonotonicTime now) {
    lastFailures.put(machine, now);
  }

  /** Number of machines on which tasks have failed. */
  int machineCount() {
    return lastFailures.size();
  }

  /** The machines on which tasks have failed, as a copy. */
  Set<MachineId> machines() {
    return Set.copyOf(lastFailures.keySet());
  }

  int backoffLevel() {
    return backoffLevel;
  }

  /** Blocks the job until a time, which replaces an earlier limit. */
  void startAfter(MonotonicTime time) {
    startsAfter = time;
  }

  /** Blocks the job until a time and raises its back-off to a level. */
  void backOff(int level, MonotonicTime until) {
    backoffLevel = level;
    startsAfter = until;
  }

  /** Whether no task of the job may be started now. */
  boolean isBlocked(MonotonicTime now) {
    return startsAfter != null && now.isBefore(startsAfter);
  }

  /** Whether the job backs off, so that its tasks are tried one at a time until one succeeds. */
  boolean triesSingleTasks() {
    return backoffLevel > 0;
  }

  /** The machines on which no task of the job should be placed now. */
  Set<MachineId> avoidedMachines(MonotonicTime now) {
    Set<MachineId> avoided = new HashSet<>();
    lastFailures.forEach(
        (machine, failedAt) -> {
          if (now.secondsSince(failedAt) < AVOID_S) {
            avoided.add(machine);
          }
        });
    return avoided;
  }
}
