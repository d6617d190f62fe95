package org.ternhinge.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.ternhinge.ledger.Job;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.TaskFailures;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.sim.SubmissionJson;

/** Release of unusable idle machines, with leases of 10 s and a nominal boot time of 20 s. */
class UnusableMachineCheckTest {
  private static final double LEASE_S = 10;

  private final ScalingFixture fixture = new ScalingFixture();
  private final MonotonicTime start = fixture.start;
  private final UnusableMachineCheck check =
      new UnusableMachineCheck(
          fixture.context,
          fixture.leadership.machines,
          fixture.machineTypes,
          fixture.releaser,
          fixture.bootTimes);

  private boolean isReleasedAfter(Machine machine, double afterS) {
    check.check(start.plusSeconds(afterS));
    return machine.cloud().isReleasing();
  }

  /** Returns the lease expiry of a machine, in seconds since the start. */
  private double leaseExpiryS(Machine machine) {
    return machine.agent().leaseExpiry().secondsSince(start);
  }

  private void makeUnusable(Machine machine, ReleaseReason reason) {
    switch (reason) {
      case BOOT_TIMEOUT -> machine.setProvisionedAt(start.plusSeconds(-1000));
      case SILENT -> machine.agent().recordMessage(start);
      case UNREACHABLE -> {
        machine.agent().recordMessage(start);
        machine.agent().extendLease(start.plusSeconds(1000));
        machine.health().reachability().recordLeaseExpiry(start, () -> true);
      }
      case QUARANTINED -> {
        machine.agent().recordMessage(start);
        machine.agent().extendLease(start.plusSeconds(1000));
        quarantine(machine);
      }
      default -> throw new AssertionError(reason);
    }
  }

  private void quarantine(Machine machine) {
    TaskFailures failures =
        new TaskFailures(fixture.leadership.ledger, fixture.leadership.machines, 20, start);
    for (int i = 1; i <= 3; i++) {
      Job job = fixture.leadership.addJob(SubmissionJson.smallJob("wk-" + i, "batch", 1));
      failures.recordFailure(machine, job, start.plusSeconds(100));
    }
  }

  @ParameterizedTest
  @EnumSource
  void idleMachineIsReleased(ReleaseReason reason) {
    Machine machine = fixture.bootingMachine("n-1");
    makeUnusable(machine, reason);
    assertTrue(isReleasedAfter(machine, 100));
  }

  @ParameterizedTest
  @EnumSource
  void machineWithAttemptIsKept(ReleaseReason reason) {
    Machine machine = fixture.bootingMachine("n-1");
    makeUnusable(machine, reason);
    fixture.leadership.openAttempt(
        fixture.leadership.addJob(SubmissionJson.smallJob("wk-9", "batch", 1)), 0, machine);
    assertFalse(isReleasedAfter(machine, 100));
  }

  @ParameterizedTest
  @EnumSource
  void machineOfUnknownTypeIsKept(ReleaseReason reason) {
    Machine machine = fixture.leadership.machines.findOrAdd(new MachineId("n-1"), start);
    makeUnusable(machine, reason);
    assertFalse(isReleasedAfter(machine, 100));
  }

  @Test
  void terminatedMachineIsNotReleased() {
    Machine machine = fixture.bootingMachine("n-1");
    makeUnusable(machine, ReleaseReason.BOOT_TIMEOUT);
    machine.cloud().markTerminated();
    assertFalse(isReleasedAfter(machine, 100));
  }

  @Test
  void usableMachineIsKept() {
    Machine machine = fixture.runningMachine("n-1");
    assertFalse(isReleasedAfter(machine, 1));
  }

  /** The time-out is the larger of three nominal boot times and 45 s in addition to one. */
  @ParameterizedTest
  @CsvSource({"64, false", "66, true"})
  void machineListedAsRunningIsReleasedAfterFirstHeartbeatTimeout(double afterS, boolean released) {
    Machine machine = fixture.bootingMachine("n-1");
    machine.cloud().recordListing(start, true);
    assertEquals(released, isReleasedAfter(machine, afterS));
  }

  /**
   * A machine that an earlier leader provisioned long ago may be running without having discovered
   * the current leader.
   */
  @ParameterizedTest
  @CsvSource({"3, false", "5, true"})
  void bootTimeoutWaitsForDiscoveryOfLeader(double afterS, boolean released) {
    Machine machine = fixture.bootingMachine("n-1");
    makeUnusable(machine, ReleaseReason.BOOT_TIMEOUT);
    assertEquals(released, isReleasedAfter(machine, afterS));
  }

  @ParameterizedTest(name = "{0} silent of {1}")
  @CsvSource({"2, 2, 1", "3, 3, 3", "4, 20, 1", "5, 20, 3"})
  void silentMachineIsKeptLongerInSilentZone(int silent, int all, int leases) {
    Machine machine = fixture.runningMachine("n-0");
    for (int i = 1; i < all; i++) {
      Machine other = fixture.runningMachine("n-" + i);
      if (i >= silent) {
        other.agent().extendLease(start.plusSeconds(1000));
      }
    }
    double endS = leaseExpiryS(machine);
    assertFalse(isReleasedAfter(machine, endS + leases * LEASE_S));
    assertTrue(isReleasedAfter(machine, endS + leases * LEASE_S + 0.1));
  }

  @Test
  void reasonsAreFormattedAsText() {
    assertEquals("no heartbeat within the boot time-out", ReleaseReason.BOOT_TIMEOUT.toString());
    assertEquals("no heartbeat since the lease expired", ReleaseReason.SILENT.toString());
    assertEquals("unreachable by commands", ReleaseReason.UNREACHABLE.toString());
    assertEquals("quarantined", ReleaseReason.QUARANTINED.toString());
  }
}
