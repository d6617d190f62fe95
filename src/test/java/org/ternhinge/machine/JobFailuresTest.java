package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.sim.SimClock;

/** Back-off and avoided machines of a job that fails. */
class JobFailuresTest {
  /**
   * No job may wait for 90 s although a machine is free for it; a job that fits only few machines
   * would if it avoided them for ever.
   */
  @Test
  void aMachineIsAvoidedForAWhileAndCountedForEver() {
    MonotonicTime start = new SimClock().now();
    MachineId first = new MachineId("n-1");
    MachineId second = new MachineId("n-2");
    JobFailures failures = new JobFailures();
    failures.failedOn(first, start);
    failures.failedOn(second, start.plusSeconds(20));
    assertEquals(Set.of(first, second), failures.avoidedMachines(start.plusSeconds(30)));
    assertEquals(Set.of(second), failures.avoidedMachines(start.plusSeconds(50)));
    assertEquals(Set.of(), failures.avoidedMachines(start.plusSeconds(70)));
    assertEquals(2, failures.machineCount());
  }
}
