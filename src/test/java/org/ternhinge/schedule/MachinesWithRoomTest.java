package org.ternhinge.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ternhinge.wire.JobSpec;

/** Removal of full machines once they are more than a quarter of all machines. */
class MachinesWithRoomTest extends PlannerFixture {
  private static final JobSpec WHOLE_MACHINE = spec("wk-1", "batch", 1, Map.of("cpus", 4.0));

  private final MachinesWithRoom machinesWithRoom =
      new MachinesWithRoom(WHOLE_MACHINE.taskResources().cpus());

  private MachineCapacity add(String name) {
    MachineCapacity machine = new MachineCapacity(machine(name, PLAIN, 0, Set.of()));
    machinesWithRoom.add(machine);
    return machine;
  }

  @Test
  void machineWithLessThanSmallestRequestIsFull() {
    MachineCapacity machine = add("n-1");
    assertTrue(!machinesWithRoom.isFull(machine));
    machine.place(WHOLE_MACHINE);
    assertTrue(machinesWithRoom.isFull(machine));
  }

  @Test
  void fullMachinesAboveAQuarterAreRemovedInStableOrder() {
    for (int i = 0; i < 8; i++) {
      add("n-" + i);
    }
    machinesWithRoom.get(1).place(WHOLE_MACHINE);
    machinesWithRoom.get(4).place(WHOLE_MACHINE);
    machinesWithRoom.removeFullIfMany();
    assertEquals(8, machinesWithRoom.size(), "exactly a quarter of the machines is full");
    machinesWithRoom.get(6).place(WHOLE_MACHINE);
    machinesWithRoom.removeFullIfMany();
    assertEquals(
        "n-0 n-2 n-3 n-5 n-7",
        String.join(
            " ",
            machinesWithRoom.all().stream().map(machine -> machine.view().id().value()).toList()));
  }
}
