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

/** Which machines are late or given up, with a nominal boot time of 20 s. */
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
    machine.describe(MachineDescription.of("small", "east", false, List.of("east", "west")));
    return machine;
  }

  private void comeUp(Machine machine, double afterS) {
    MonotonicTime now = start.plusSeconds(afterS);
    machine.agent().heard(now);
    bootTimes.cameUp(machine, now);
  }

  private Set<MachineId> lateAfter(double seconds) {
    return bootTimes.late(start.plusSeconds(seconds));
  }

  static Stream<Named<Consumer<Machine>>> reasonsNotToWait() {
    return Stream.of(
        Named.of("heard", m -> m.agent().heard(new MonotonicTime(0))),
        Named.of("released", m -> m.cloud().markReleasing()),
        Named.of("terminated", m -> m.cloud().markTerminated()),
        Named.of("listed as running", m -> m.cloud().listed(new MonotonicTime(0), true)));
  }

  /** Machines that do not count as expected capacity. */
  @Nested
  class Late {
    /** Beside two machines that came up in the nominal time. */
    @ParameterizedTest
    @CsvSource({"30, false", "33, false", "33.1, true", "60, true"})
    void isAMachineBeyondTheUsualSpread(double afterS, boolean late) {
      comeUp(provision("n-1"), BOOT_S);
      comeUp(provision("n-2"), BOOT_S);
      Machine machine = provision("n-3");
      assertEquals(late ? Set.of(machine.id()) : Set.of(), lateAfter(afterS));
    }

    @ParameterizedTest
    @MethodSource("org.ternhinge.machine.BootTimesTest#reasonsNotToWait")
    void isNoMachineThatIsNotBooting(Consumer<Machine> reason) {
      comeUp(provision("n-1"), BOOT_S);
      comeUp(provision("n-2"), BOOT_S);
      reason.accept(provision("n-3"));
      assertEquals(Set.of(), lateAfter(60));
    }

    @Test
    void isNoMachineOfAnUnknownType() {
      machines.findOrAdd(new MachineId("n-1"), start);
      assertEquals(Set.of(), lateAfter(600));
    }

    /** Provisioning all of them again would only cost twice. */
    @Test
    void isOnlyAQuarterOfTheMachinesWhereMostAreSlow() {
      for (int i = 0; i < 8; i++) {
        provision("n-" + i);
      }
      assertEquals(Set.of(new MachineId("n-0"), new MachineId("n-1")), lateAfter(60));
    }
  }

  /** The boot time that the planner expects. */
  @Nested
  class ExpectedTime {
    @Test
    void isTheNominalOneWithoutObservations() {
      assertEquals(BOOT_S, bootTimes.expectedS(SMALL, "east"));
    }

    @Test
    void growsInTheZoneWhereMachinesAreSlow() {
      for (int i = 0; i < 8; i++) {
        provision("n-" + i);
      }
      lateAfter(63);
      assertEquals(60, bootTimes.expectedS(SMALL, "east"), 1e-6);
      assertEquals(BOOT_S, bootTimes.expectedS(SMALL, "west"));
    }

    @Test
    void forgetsBootsAfterFiveMinutes() {
      for (int i = 0; i < 8; i++) {
        comeUp(provision("n-" + i), 60);
      }
      lateAfter(61);
      assertEquals(60, bootTimes.expectedS(SMALL, "east"), 1e-6);
      lateAfter(361);
      assertEquals(BOOT_S, bootTimes.expectedS(SMALL, "east"), 1e-6);
    }

    /** Such a machine may have come up long before its first heartbeat to this leader. */
    @Test
    void ignoresMachinesOfAnEarlierLeadership() {
      for (int i = 0; i < 8; i++) {
        Machine machine = provision("n-" + i);
        machine.provisionedAt(start.plusSeconds(-100));
        comeUp(machine, 10);
      }
      lateAfter(11);
      assertEquals(BOOT_S, bootTimes.expectedS(SMALL, "east"));
    }
  }

  /** Machines that are released. */
  @Nested
  class GivenUp {
    /** The larger of three boot times and 45 s beyond one. */
    @ParameterizedTest
    @CsvSource({"60, false", "65, false", "65.1, true"})
    void isAMachineThatProbablyNeverComesUp(double afterS, boolean givenUp) {
      assertEquals(givenUp, bootTimes.isGivenUp(provision("n-1"), start.plusSeconds(afterS)));
    }

    @ParameterizedTest
    @CsvSource({"66, false", "160, false", "160.1, true"})
    void isAMachineLaterWhereMostAreSlow(double afterS, boolean givenUp) {
      for (int i = 0; i < 8; i++) {
        provision("n-" + i);
      }
      lateAfter(60);
      Machine machine = machines.findOrAdd(new MachineId("n-0"), start);
      assertEquals(givenUp, bootTimes.isGivenUp(machine, start.plusSeconds(afterS)));
    }

    @ParameterizedTest
    @MethodSource("org.ternhinge.machine.BootTimesTest#reasonsNotToWait")
    void isNoMachineThatIsNotBooting(Consumer<Machine> reason) {
      Machine machine = provision("n-1");
      assertTrue(bootTimes.isGivenUp(machine, start.plusSeconds(600)));
      reason.accept(machine);
      assertFalse(bootTimes.isGivenUp(machine, start.plusSeconds(600)));
    }
  }
}
