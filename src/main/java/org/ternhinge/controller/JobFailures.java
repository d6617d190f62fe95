package org.ternhinge.controller;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.SteadyTime;

/** What went wrong with a job's tasks, apart from any machine's fault. */
final class JobFailures {
  /**
   * How long a machine is avoided after a failure there. A machine that is sick is set aside for
   * itself; with the mark kept for ever, a job that fits few machines would wait beside free ones.
   */
  static final double AVOID_S = 45;

  /** Machines that its tasks failed on, and when last. */
  private final Map<MachineId, SteadyTime> failures = new HashMap<>();

  /** Nothing of the job is started before, or null. */
  SteadyTime until;

  void failedOn(MachineId machine, SteadyTime now) {
    failures.put(machine, now);
  }

  /** On how many machines its tasks have failed. */
  int machines() {
    return failures.size();
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
