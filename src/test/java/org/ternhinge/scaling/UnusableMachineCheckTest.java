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
import org.ternhinge.model.SteadyTime;
import org.ternhinge.sim.SubmissionJson;

/** Which idle machines are released, with leases of 10 s and a nominal boot time of 20 s. */
class UnusableMachineCheckTest {
  private static final double LEASE_S = 10;

  private final ScalingFixture fixture = new ScalingFixture();
  private final SteadyTime start = fixture.start;
  private final UnusableMachineCheck check =
      new UnusableMachineCheck(
          fixture.context,
          fixture.leadership.machines,
          fixture.machineTypes,
          fixture.releaser,
          fixture.bootTimes);

  private boolean isReleased(Machine machine, double afterS) {
    check.check(start.plusSeconds(afterS));
    return machine.cloud().isReleasing();
  }

  /** The lease of a machine that was heard once at the start. */
  private double leaseEndS(Machine machine) {
    return machine.agent().leaseExpiry().secondsSince(start);
  }

  private void makeUnusable(Machine machine, ReleaseReason reason) {
    switch (reason) {
      case NEVER_UP -> machine.provisionedAt(start.plusSeconds(-1000));
      case SILENT -> machine.agent().heard(start);
      case UNREACHABLE -> {
        machine.agent().heard(start);
        machine.agent().extendLease(start.plusSeconds(1000));
        machine.health().reachability().leaseLapsed(start, () -> true);
      }
      case QUARANTINED -> {
        machine.agent().heard(start);
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
      Job job = fixture.leadership.job(SubmissionJson.smallJob("wk-" + i, "batch", 1));
      failures.failed(machine, job, start.plusSeconds(100));
    }
  }

  @ParameterizedTest
  @EnumSource
  void anIdleMachineIsReleasedFor(ReleaseReason reason) {
    Machine machine = fixture.bootingMachine("n-1");
    makeUnusable(machine, reason);
    assertTrue(isReleased(machine, 100));
  }

  @ParameterizedTest
  @EnumSource
  void aMachineWithAnAttemptIsKeptInSpiteOf(ReleaseReason reason) {
    Machine machine = fixture.bootingMachine("n-1");
    makeUnusable(machine, reason);
    fixture.leadership.open(
        fixture.leadership.job(SubmissionJson.smallJob("wk-9", "batch", 1)), 0, machine);
    assertFalse(isReleased(machine, 100));
  }

  @ParameterizedTest
  @EnumSource
  void aMachineOfAnUnknownTypeIsKeptInSpiteOf(ReleaseReason reason) {
    Machine machine = fixture.leadership.machines.findOrAdd(new MachineId("n-1"), start);
    makeUnusable(machine, reason);
    assertFalse(isReleased(machine, 100));
  }

  @Test
  void aTerminatedMachineIsNotReleasedAgain() {
    Machine machine = fixture.bootingMachine("n-1");
    makeUnusable(machine, ReleaseReason.NEVER_UP);
    machine.cloud().markTerminated();
    assertFalse(isReleased(machine, 100));
  }

  @Test
  void aUsableMachineIsKept() {
    Machine machine = fixture.runningMachine("n-1");
    assertFalse(isReleased(machine, 1));
  }

  /** Three nominal boot times, or 45 s beyond one. */
  @ParameterizedTest
  @CsvSource({"64, false", "66, true"})
  void aMachineThatIsListedAsRunningHasTimeForItsFirstHeartbeat(double afterS, boolean released) {
    Machine machine = fixture.bootingMachine("n-1");
    machine.cloud().listed(start, true);
    assertEquals(released, isReleased(machine, afterS));
  }

  /** A machine that an earlier leader provisioned long ago may be up and not know this one. */
  @ParameterizedTest
  @CsvSource({"3, false", "5, true"})
  void noMachineIsGivenUpBeforeWorkersHadTimeToFindTheLeader(double afterS, boolean released) {
    Machine machine = fixture.bootingMachine("n-1");
    makeUnusable(machine, ReleaseReason.NEVER_UP);
    assertEquals(released, isReleased(machine, afterS));
  }

  @ParameterizedTest(name = "{0} silent of {1}")
  @CsvSource({"2, 2, 1", "3, 3, 3", "4, 20, 1", "5, 20, 3"})
  void aSilentMachineIsKeptForLongerWhereManyOfItsZoneAre(int silent, int all, int leases) {
    Machine machine = fixture.runningMachine("n-0");
    for (int i = 1; i < all; i++) {
      Machine other = fixture.runningMachine("n-" + i);
      if (i >= silent) {
        other.agent().extendLease(start.plusSeconds(1000));
      }
    }
    double endS = leaseEndS(machine);
    assertFalse(isReleased(machine, endS + leases * LEASE_S));
    assertTrue(isReleased(machine, endS + leases * LEASE_S + 0.1));
  }

  @Test
  void reasonsAreLoggedInWords() {
    assertEquals("never up", ReleaseReason.NEVER_UP.toString());
    assertEquals("silent", ReleaseReason.SILENT.toString());
    assertEquals("unreachable by commands", ReleaseReason.UNREACHABLE.toString());
    assertEquals("quarantined", ReleaseReason.QUARANTINED.toString());
  }
}
