package org.ternhinge.ledger;

import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;

/** Small on-demand machines in the first zone, for tests. */
final class TestMachines {
  private TestMachines() {}

  static MachineAttributes on(String machine, long epoch) {
    return new MachineAttributes(
        new MachineId(machine),
        new AgentEpoch(epoch),
        "small",
        0,
        "east",
        false,
        Resources.ofCapacity(8, 0, 64));
  }
}
