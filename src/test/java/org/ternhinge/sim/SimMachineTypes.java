package org.ternhinge.sim;

import java.util.List;
import org.ternhinge.model.Resources;
import org.ternhinge.wire.MachineType;

/** The machine types that the simulated cloud offers. */
public final class SimMachineTypes {
  /** The machine types, offered in the two default zones. */
  public static final List<MachineType> ALL = in(ClusterSettings.ZONES);

  private SimMachineTypes() {}

  /** The machine types, offered in the given zones. */
  public static List<MachineType> in(List<String> zones) {
    return List.of(
        new MachineType(
            "small", Resources.ofCapacity(4, 0, 16), 4, 0, 16, 50, 1, 0.2, 0.1, 5, zones),
        new MachineType("fast", Resources.ofCapacity(16, 2, 64), 16, 2, 64, 50, 1, 3, 1, 8, zones));
  }
}
