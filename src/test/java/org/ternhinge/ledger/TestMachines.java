package org.ternhinge.ledger;

import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;
import org.ternhinge.model.Session;

/** Where tests place tasks: a small ordinary machine in the first zone. */
final class TestMachines {
  private TestMachines() {}

  static MachineAttributes on(String machine, long session) {
    return new MachineAttributes(
        new MachineId(machine),
        new Session(session),
        "small",
        0,
        "east",
        false,
        Resources.offer(8, 0, 64));
  }
}
