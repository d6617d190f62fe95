package org.ternhinge.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.ternhinge.ledger.Ledger.Placement;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;

/** Machines with capacity for whole arrays, and placements on them, for tests of records. */
final class LargeMachines {
  private LargeMachines() {}

  /** Creates an on-demand machine in zone 0 or 1. */
  static MachineAttributes of(String name, long epoch, int zone) {
    return new MachineAttributes(
        new MachineId(name),
        new AgentEpoch(epoch),
        "small",
        zone,
        zone == 0 ? "east" : "west",
        false,
        Resources.ofCapacity(64, 0, 256));
  }

  /** Creates placements of the tasks from {@code from}, inclusive, to {@code to}, exclusive. */
  static List<Placement> placements(int from, int to, IntFunction<MachineAttributes> machineOf) {
    List<Placement> placements = new ArrayList<>();
    for (int index = from; index < to; index++) {
      placements.add(new Placement(index, machineOf.apply(index)));
    }
    return placements;
  }
}
