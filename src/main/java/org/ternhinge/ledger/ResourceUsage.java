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
 * Resources used by open attempts, by team and by machine. An attempt counts from the decision to
 * open it until it is proven to have ended.
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

  /** Open attempts on a machine, in the order in which they were opened. */
  Collection<Attempt> attemptsOn(MachineId machine) {
    return attempts.getOrDefault(machine, Set.of());
  }

  /** Machines with open attempts. */
  Set<MachineId> machines() {
    return new HashSet<>(attempts.keySet());
  }

  /** Adds the resources of an attempt that is opened. */
  void add(Attempt attempt) {
    Resources need = attempt.job().spec().taskResources();
    byTeam.merge(attempt.job().spec().team(), need, Resources::plus);
    byMachine.merge(attempt.machine(), need, Resources::plus);
    attempts.computeIfAbsent(attempt.machine(), machine -> new LinkedHashSet<>()).add(attempt);
  }

  /** Subtracts the resources of an attempt that is closed. */
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
