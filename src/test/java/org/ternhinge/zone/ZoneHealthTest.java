package org.ternhinge.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.MonotonicTime;

/** State transitions of zones for given numbers of impaired machines over time. */
class ZoneHealthTest {
  private static final double LEASE_S = 24;
  private static final int MACHINES = 20;
  private static final ZoneFailoverSettings SETTINGS = ZoneFailoverSettings.DEFAULT;

  private final FleetAssessment assessment = new FleetAssessment(SETTINGS, LEASE_S);
  private List<ZoneHealth> zones = new ArrayList<>();
  private MonotonicTime now = new MonotonicTime(0);
  private final List<String> states = new ArrayList<>();

  private void addAvailableZones(int count) {
    for (int i = 0; i < count; i++) {
      zones.add(ZoneHealth.available(now));
    }
  }

  /** Advances the time in steps of half a second and records each new state of the first zone. */
  private void advance(double seconds, int... impaired) {
    List<ZoneObservation> observations = new ArrayList<>();
    for (int zone = 0; zone < zones.size(); zone++) {
      observations.add(new ZoneObservation(MACHINES, zone < impaired.length ? impaired[zone] : 0));
    }
    advance(seconds, observations);
  }

  private void advance(double seconds, List<ZoneObservation> observations) {
    for (double t = 0; t < seconds; t += 0.5) {
      now = now.plusSeconds(0.5);
      ZoneState before = zones.get(0).state();
      zones = assessment.assess(zones, observations, now);
      if (zones.get(0).state() != before) {
        states.add(zones.get(0).state().label());
      }
    }
  }

  private ZoneState state(int zone) {
    return zones.get(zone).state();
  }

  @Test
  void lostZoneIsSuspectAtOnceAndRecoversInSteps() {
    addAvailableZones(3);
    advance(10);
    assertEquals(ZoneState.AVAILABLE, state(0));
    advance(0.5, 20);
    assertEquals(ZoneState.SUSPECT, state(0));
    advance(60, 20);
    assertEquals(ZoneState.UNAVAILABLE, state(0));
    advance(SETTINGS.detection().settleS() - 1);
    assertEquals(ZoneState.UNAVAILABLE, state(0), "recovery requires the settling time to pass");
    advance(2);
    assertEquals(ZoneState.RECOVERING, state(0));
    advance(SETTINGS.pace().stepS() + 0.5);
    assertEquals(1, zones.get(0).step());
    advance(SETTINGS.pace().stepS() * SETTINGS.pace().steps());
    assertEquals(List.of("suspect", "unavailable", "recovering", "available"), states);
  }

  /** A share between the thresholds makes the zone suspect for a limited time only. */
  @ParameterizedTest(name = "{0} of 20 impaired for {1} s")
  @CsvSource({
    "1, 600, AVAILABLE",
    "5, 600, AVAILABLE",
    "6, 1, SUSPECT",
    "10, 5, SUSPECT",
    "10, 30, AVAILABLE",
    "15, 5, SUSPECT",
    "15, 30, AVAILABLE",
    "16, 3, SUSPECT",
    "16, 6, UNAVAILABLE",
    "20, 6, UNAVAILABLE"
  })
  void shareOfImpairedMachinesDeterminesState(int impaired, double seconds, ZoneState expected) {
    addAvailableZones(3);
    advance(seconds, impaired);
    assertEquals(expected, state(0));
  }

  @Test
  void halfImpairedZoneCountsAsSingleFailuresAndFurtherLossesAreDetected() {
    addAvailableZones(3);
    advance(30, 10);
    assertEquals(ZoneState.AVAILABLE, state(0), "the healthy half accepts work");
    advance(5, 12);
    assertEquals(
        ZoneState.AVAILABLE, state(0), "two further failures do not make the zone suspect");
    advance(8, 19);
    assertEquals(ZoneState.UNAVAILABLE, state(0), "nearly all of the other machines are impaired");
  }

  /**
   * The impairment of all zones indicates a network failure of the leader; that of most zones at
   * once is confirmed as a loss only after the lease has expired.
   */
  @ParameterizedTest(name = "{0} zones, impaired {1} {2} {3}, {4} s")
  @CsvSource({
    "3, 20, 20, 20, 600, SUSPECT",
    "2, 20, 20, 0, 600, SUSPECT",
    "1, 20, 0, 0, 600, SUSPECT",
    "3, 20, 20, 0, 20, SUSPECT",
    "3, 20, 20, 0, 26, UNAVAILABLE",
    "3, 20, 0, 0, 6, UNAVAILABLE",
    "2, 20, 0, 0, 6, UNAVAILABLE"
  })
  void leaderNetworkFailureIsDistinguishedFromZoneLoss(
      int count, int first, int second, int third, double seconds, ZoneState expected) {
    addAvailableZones(count);
    advance(seconds, first, second, third);
    assertEquals(expected, state(0));
  }

  @Test
  void zonesLostOneAfterTheOtherAreBothUnavailable() {
    addAvailableZones(3);
    advance(20, 20);
    advance(6, 20, 20);
    assertEquals(ZoneState.UNAVAILABLE, state(0));
    assertEquals(ZoneState.UNAVAILABLE, state(1));
    assertEquals(ZoneState.AVAILABLE, state(2));
  }

  @Test
  void flappingZoneIsSuppressedForBoundedTime() {
    addAvailableZones(3);
    advance(15, 20);
    advance(12);
    assertEquals(ZoneState.RECOVERING, state(0), "a single loss does not suppress the zone");
    advance(15, 20);
    assertTrue(zones.get(0).suppressed(), "two losses within a minute suppress the zone");
    advance(SETTINGS.detection().settleS() + 2);
    assertEquals(ZoneState.UNAVAILABLE, state(0), "healthy, but still suppressed");
    for (int i = 0; i < 20; i++) {
      advance(15, 20);
      advance(2);
    }
    assertTrue(zones.get(0).penalty().value() <= SETTINGS.flapDamping().max());
    // The penalty decays from 2.5 to 0.75 with a half-life of 30 s, which takes less than two
    // half-lives; by then the settling time has passed.
    double waited = 0;
    while (state(0) == ZoneState.UNAVAILABLE) {
      advance(0.5);
      waited += 0.5;
    }
    assertTrue(
        waited > SETTINGS.detection().settleS() && waited < 53, "seconds out of use: " + waited);
  }

  @Test
  void lossDuringRecoveryMakesZoneSuspectAgain() {
    addAvailableZones(3);
    advance(15, 20);
    advance(18);
    assertEquals(ZoneState.RECOVERING, state(0));
    assertTrue(zones.get(0).step() >= 1);
    advance(1, 8);
    assertEquals(ZoneState.SUSPECT, state(0));
    assertEquals(0, zones.get(0).step());
  }

  /**
   * Machines that have not reported to a new leader yet must make a zone neither healthy nor lost.
   */
  @Test
  void newLeaderIgnoresZoneWithUnreportedMachines() {
    addAvailableZones(3);
    advance(15, 20);
    List<ZoneObservation> unreported =
        List.of(
            new ZoneObservation(0, 0, MACHINES),
            new ZoneObservation(MACHINES, 0),
            new ZoneObservation(MACHINES, 0));
    advance(120, unreported);
    assertEquals(ZoneState.UNAVAILABLE, state(0));
    advance(SETTINGS.detection().settleS() + 1);
    assertEquals(ZoneState.RECOVERING, state(0));
  }

  /** A stale or empty list of machines only changes the number of expected machines. */
  @Test
  void zoneWithoutMachinesRecoversAfterDelay() {
    addAvailableZones(2);
    advance(15, 20);
    List<ZoneObservation> withoutMachines =
        List.of(new ZoneObservation(0, 0), new ZoneObservation(MACHINES, 0));
    advance(SETTINGS.detection().settleS() + SETTINGS.release().tierHoldS() + 1, withoutMachines);
    assertEquals(ZoneState.RECOVERING, state(0));
    addAvailableZones(1);
    List<ZoneObservation> singleMachine =
        List.of(
            new ZoneObservation(1, 1), new ZoneObservation(MACHINES, 0), withoutMachines.get(0));
    zones.set(0, ZoneHealth.available(now));
    advance(60, singleMachine);
    assertEquals(
        ZoneState.AVAILABLE, state(0), "a single machine is below the minimum size of a zone");
  }
}
