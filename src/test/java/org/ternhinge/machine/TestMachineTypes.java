package org.ternhinge.machine;

import java.util.List;
import org.ternhinge.model.Resources;
import org.ternhinge.wire.MachineType;

/** Machine types for tests. */
public final class TestMachineTypes {
  private TestMachineTypes() {}

  /** Creates a type with 8 CPUs that is offered in the given zones. */
  public static MachineType type(String name, double bootS, String... zones) {
    return new MachineType(
        name, Resources.ofCapacity(8, 0, 64), 8, 0, 64, 100, 1, 1.0, 0.4, bootS, List.of(zones));
  }
}
