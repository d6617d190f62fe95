package org.ternhinge.controller;

import java.util.HashSet;
import java.util.Set;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.SteadyTime;

/** What went wrong with a job's tasks, apart from any machine's fault. */
final class Trouble {
  /** Machines that its tasks failed on. */
  final Set<MachineId> machines = new HashSet<>();

  /** Nothing of the job is started before, or null. */
  SteadyTime until;
}
