package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.sim.SimClock;

/** Machines that a failing job avoids. */
class JobFailuresTest {
  /**
   * No job may wait for 90 s although a machine is free for it. A job that fits on few machines
   * would do so if it avoided them indefinitely.
   */
  @Test
  void machineIsAvoidedTemporarilyButStaysCounted() {
    MonotonicTime start = new SimClock().now();
    MachineId first = new MachineId("n-1");
    MachineId second = new MachineId("n-2");
    JobFailures failures = new JobFailures();
    failures.recordFailure(first, start);
    failures.recordFailure(second, start.plusSeconds(20));
    assertEquals(Set.of(first, second), failures.avoidedMachines(start.plusSeconds(30)));
    assertEquals(Set.of(second), failures.avoidedMachines(start.plusSeconds(50)));
    assertEquals(Set.of(), failures.avoidedMachines(start.plusSeconds(70)));
    assertEquals(2, failures.machineCount());
  }
}
