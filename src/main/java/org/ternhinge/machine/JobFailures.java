package org.ternhinge.machine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.SteadyTime;

/** What went wrong with a job's tasks: on which machines, and until when the job backs off. */
final class JobFailures {
  /**
   * How long a machine is avoided after a failure there. A machine that is sick is quarantined for
   * itself; with the mark kept for ever, a job that fits few machines would wait beside free ones.
   */
  static final double AVOID_S = 45;

  /** Machines that its tasks failed on since one of them was last done, and when last. */
  private final Map<MachineId, SteadyTime> failures = new HashMap<>();

  /** How often its back-off has grown; 0 while it does not back off. */
  private int backoffLevel;

  /** Nothing of the job is started before, or null. */
  private SteadyTime startsAfter;

  void failedOn(MachineId machine, SteadyTime now) {
    failures.put(machine, now);
  }

  /** On how many machines its tasks have failed since one was done. */
  int machineCount() {
    return failures.size();
  }

  /** The machines on which its tasks have failed since one was done. */
  Set<MachineId> machines() {
    return Set.copyOf(failures.keySet());
  }

  int backoffLevel() {
    return backoffLevel;
  }

  /** Nothing of the job is started before this time; an earlier one is forgotten. */
  void startAfter(SteadyTime time) {
    startsAfter = time;
  }

  /** The job is at fault and backs off until then; one task is tried at a time from then on. */
  void backOff(int level, SteadyTime until) {
    backoffLevel = level;
    startsAfter = until;
  }

  /** Whether nothing of the job may be started now. */
  boolean blocked(SteadyTime now) {
    return startsAfter != null && now.isBefore(startsAfter);
  }

  /**
   * Whether the job has failed on so many machines that only one of its tasks is tried at a time,
   * until one is done.
   */
  boolean triesSingleTasks() {
    return backoffLevel > 0;
  }

  /** Where nothing of the job should go now. */
  Set<MachineId> avoid(SteadyTime now) {
    Set<MachineId> out = new HashSet<>();
    failures.forEach(
        (machine, at) -> {
          if (now.secondsSince(at) < AVOID_S) {
            out.add(machine);
          }
        });
    return out;
  }
}
