package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;

/** Machine counts by zone. */
class ZoneMachineCountsTest {
  private static final MonotonicTime NOW = new MonotonicTime(0);
  private static final List<String> ZONES = List.of("east", "west", "south");

  private static Machine machine(String zone) {
    Machine machine = new Machine(new MachineId("n-1"), NOW, NOW);
    machine.setDescription(MachineDescription.of("small", zone, false, ZONES));
    return machine;
  }

  @Test
  void onlyMachinesOfGroupInKnownZoneAreCounted() {
    Machine released = machine("east");
    released.cloud().markReleasing();
    Machine reporting = machine("west");
    reporting.agent().recordMessage(NOW);
    List<Machine> machines = new ArrayList<>(List.of(machine("east"), machine("west"), reporting));
    machines.add(released);
    machines.add(machine("north"));
    assertEquals(
        List.of(
            new ZoneMachineCounts.Count(1, 0),
            new ZoneMachineCounts.Count(2, 1),
            new ZoneMachineCounts.Count(0, 0)),
        ZoneMachineCounts.of(
            machines,
            ZONES.size(),
            machine -> machine.description().zone(),
            machine -> !machine.cloud().isReleasing(),
            machine -> machine.agent().hasReported()));
  }
}
