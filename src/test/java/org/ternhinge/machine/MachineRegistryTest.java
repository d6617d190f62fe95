package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;

/** Registration, look-up and removal of machines. */
class MachineRegistryTest {
  private static final MonotonicTime NOW = new MonotonicTime(0);
  private static final MachineId FIRST = new MachineId("n-1");
  private static final MachineId SECOND = new MachineId("n-2");
  private final MonotonicTime leaseExpiry = NOW.plusSeconds(40);
  private final MachineRegistry registry = new MachineRegistry(leaseExpiry);

  @Test
  void machinesAreSortedByName() {
    Machine second = registry.findOrAdd(SECOND, NOW);
    Machine first = registry.findOrAdd(FIRST, NOW);
    assertSame(first, registry.findOrAdd(FIRST, NOW.plusSeconds(1)));
    assertEquals(List.of(first, second), List.copyOf(registry.all()));
    assertEquals(leaseExpiry, first.agent().leaseExpiry());
  }

  /** A delayed heartbeat must not register a removed machine again. */
  @Test
  void removedMachineIsRecorded() {
    registry.findOrAdd(FIRST, NOW);
    assertFalse(registry.wasRemoved(FIRST));
    registry.remove(FIRST);
    assertTrue(registry.wasRemoved(FIRST));
    assertEquals(Optional.empty(), registry.find(FIRST));
    assertFalse(registry.wasRemoved(SECOND));
  }

  @Test
  void onlyAddedMachineIsFound() {
    assertEquals(Optional.empty(), registry.find(FIRST));
    Machine first = registry.findOrAdd(FIRST, NOW);
    assertEquals(Optional.of(first), registry.find(FIRST));
    assertEquals(Optional.empty(), registry.find(SECOND));
  }

  @Test
  void viewOfMachinesIsUnmodifiable() {
    registry.findOrAdd(FIRST, NOW);
    assertThrows(UnsupportedOperationException.class, () -> registry.all().clear());
  }
}
