package org.ternhinge.sim;

import org.ternhinge.model.Endpoint;
import org.ternhinge.model.MachineId;

/** The addresses at which simulated machines receive commands, derived from their names. */
final class MachineEndpoints {
  private static final String HOST = "10.9.0.1";
  private static final int FIRST_PORT = 1000;

  private MachineEndpoints() {}

  /** The address of a machine. */
  static String of(MachineId id) {
    return HOST + ":" + (FIRST_PORT + Integer.parseInt(id.value().substring(2)));
  }

  /** The machine at an address. */
  static MachineId machineAt(Endpoint endpoint) {
    return new MachineId(String.format("n-%06d", endpoint.port() - FIRST_PORT));
  }
}
