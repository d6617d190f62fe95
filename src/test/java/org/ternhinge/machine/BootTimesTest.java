package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.wire.MachineType;

/** Late machines and boot time-outs, with a nominal boot time of 20 s. */
class BootTimesTest {
  private static final double BOOT_S = 20;
  private static final MachineType SMALL = TestMachineTypes.type("small", BOOT_S, "east", "west");

  private final LeadershipFixture fixture = new LeadershipFixture();
  private final MonotonicTime start = fixture.now();
  private final MachineRegistry machines = new MachineRegistry(start);
  private final MachineTypeCatalog types =
      new MachineTypeCatalog(null, fixture.executor, List.of(SMALL));
  private final BootTimes bootTimes = new BootTimes(machines, types, start);

  private Machine provision(String name) {
    Machine machine = machines.findOrAdd(new MachineId(name), start);
    machine.setDescription(MachineDescription.of("small", "east", false, List.of("east", "west")));
    return machine;
  }

  private void recordBoot(Machine machine, double afterS) {
    MonotonicTime now = start.plusSeconds(afterS);
    machine.agent().recordMessage(now);
    bootTimes.recordBoot(machine, now);
  }

  private Set<MachineId> lateAfter(double seconds) {
    return bootTimes.lateMachines(start.plusSeconds(seconds));
  }

  static Stream<Named<Consumer<Machine>>> nonBootingStates() {
    return Stream.of(
        Named.of("has reported", m -> m.agent().recordMessage(new MonotonicTime(0))),
        Named.of("released", m -> m.cloud().markReleasing()),
        Named.of("terminated", m -> m.cloud().markTerminated()),
        Named.of("listed as running", m -> m.cloud().recordListing(new MonotonicTime(0), true)));
  }

  /** Machines that do not count as expected capacity. */
  @Nested
  class LateMachines {
    /** Two other machines came up in the nominal time. */
    @ParameterizedTest
    @CsvSource({"30, false", "33, false", "33.1, true", "60, true"})
    void includesMachineBeyondOverdueFactor(double afterS, boolean late) {
      recordBoot(provision("n-1"), BOOT_S);
      recordBoot(provision("n-2"), BOOT_S);
      Machine machine = provision("n-3");
      assertEquals(late ? Set.of(machine.id()) : Set.of(), lateAfter(afterS));
    }

    @ParameterizedTest
    @MethodSource("org.ternhinge.machine.BootTimesTest#nonBootingStates")
    void excludesMachineNotBooting(Consumer<Machine> change) {
      recordBoot(provision("n-1"), BOOT_S);
      recordBoot(provision("n-2"), BOOT_S);
      change.accept(provision("n-3"));
      assertEquals(Set.of(), lateAfter(60));
    }

    @Test
    void excludesMachineOfUnknownType() {
      machines.findOrAdd(new MachineId("n-1"), start);
      assertEquals(Set.of(), lateAfter(600));
    }

    /** If all of them counted as late, replacing them would only double the cost. */
    @Test
    void includesQuarterOfMachinesIfMostAreSlow() {
      for (int i = 0; i < 8; i++) {
        provision("n-" + i);
      }
      assertEquals(Set.of(new MachineId("n-0"), new MachineId("n-1")), lateAfter(60));
    }
  }

  /** The boot time expected by the planner. */
  @Nested
  class ExpectedTime {
    @Test
    void isNominalWithoutObservations() {
      assertEquals(BOOT_S, bootTimes.expectedBootS(SMALL, "east"));
    }

    @Test
    void growsInZoneWithSlowMachines() {
      for (int i = 0; i < 8; i++) {
        provision("n-" + i);
      }
      lateAfter(63);
      assertEquals(60, bootTimes.expectedBootS(SMALL, "east"), 1e-6);
      assertEquals(BOOT_S, bootTimes.expectedBootS(SMALL, "west"));
    }

    @Test
    void excludesBootsOlderThanFiveMinutes() {
      for (int i = 0; i < 8; i++) {
        recordBoot(provision("n-" + i), 60);
      }
      lateAfter(61);
      assertEquals(60, bootTimes.expectedBootS(SMALL, "east"), 1e-6);
      lateAfter(361);
      assertEquals(BOOT_S, bootTimes.expectedBootS(SMALL, "east"), 1e-6);
    }

    /**
     * A machine of an earlier leadership may have come up long before its first heartbeat to this
     * leader.
     */
    @Test
    void excludesMachinesOfEarlierLeadership() {
      for (int i = 0; i < 8; i++) {
        Machine machine = provision("n-" + i);
        machine.setProvisionedAt(start.plusSeconds(-100));
        recordBoot(machine, 10);
      }
      lateAfter(11);
      assertEquals(BOOT_S, bootTimes.expectedBootS(SMALL, "east"));
    }
  }

  /** Machines that have exceeded their boot time-out. */
  @Nested
  class BootTimeout {
    /** The time-out is the larger of three boot times and 45 s in addition to one. */
    @ParameterizedTest
    @CsvSource({"60, false", "65, false", "65.1, true"})
    void timesOutAfterThreeBootTimesOrMargin(double afterS, boolean givenUp) {
      assertEquals(givenUp, bootTimes.hasBootTimedOut(provision("n-1"), start.plusSeconds(afterS)));
    }

    @ParameterizedTest
    @CsvSource({"66, false", "160, false", "160.1, true"})
    void timesOutLaterIfMostAreSlow(double afterS, boolean givenUp) {
      for (int i = 0; i < 8; i++) {
        provision("n-" + i);
      }
      lateAfter(60);
      Machine machine = machines.findOrAdd(new MachineId("n-0"), start);
      assertEquals(givenUp, bootTimes.hasBootTimedOut(machine, start.plusSeconds(afterS)));
    }

    @ParameterizedTest
    @MethodSource("org.ternhinge.machine.BootTimesTest#nonBootingStates")
    void excludesMachineNotBooting(Consumer<Machine> change) {
      Machine machine = provision("n-1");
      assertTrue(bootTimes.hasBootTimedOut(machine, start.plusSeconds(600)));
      change.accept(machine);
      assertFalse(bootTimes.hasBootTimedOut(machine, start.plusSeconds(600)));
    }
  }
}
