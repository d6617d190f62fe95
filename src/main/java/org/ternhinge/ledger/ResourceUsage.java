package org.ternhinge.ledger;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;

/**
 * What the open attempts take up of teams' limits and of machines. An attempt counts from the
 * decision to open it until there is proof that it is gone.
 */
final class ResourceUsage {
  private final Map<String, Resources> byTeam = new HashMap<>();
  private final Map<MachineId, Resources> byMachine = new HashMap<>();
  private final Map<MachineId, Set<Attempt>> attempts = new HashMap<>();

  Resources ofTeam(String team) {
    return byTeam.getOrDefault(team, Resources.ZERO);
  }

  Resources ofMachine(MachineId machine) {
    return byMachine.getOrDefault(machine, Resources.ZERO);
  }

  /** Attempts open on a machine, in the order in which they were opened. */
  Collection<Attempt> attemptsOn(MachineId machine) {
    return attempts.getOrDefault(machine, Set.of());
  }

  /** Machines that attempts are open on. */
  Set<MachineId> machines() {
    return new HashSet<>(attempts.keySet());
  }

  /** Counts an attempt that opens. */
  void add(Attempt attempt) {
    Resources need = attempt.job().spec().taskResources();
    byTeam.merge(attempt.job().spec().team(), need, Resources::plus);
    byMachine.merge(attempt.machine(), need, Resources::plus);
    attempts.computeIfAbsent(attempt.machine(), machine -> new LinkedHashSet<>()).add(attempt);
  }

  /** No longer counts an attempt that was counted. */
  void remove(Attempt attempt) {
    Resources need = attempt.job().spec().taskResources();
    MachineId machine = attempt.machine();
    byTeam.computeIfPresent(attempt.job().spec().team(), (team, used) -> used.minus(need));
    Set<Attempt> remaining = attempts.get(machine);
    remaining.remove(attempt);
    if (remaining.isEmpty()) {
      attempts.remove(machine);
      byMachine.remove(machine);
    } else {
      byMachine.computeIfPresent(machine, (id, used) -> used.minus(need));
    }
  }
}
